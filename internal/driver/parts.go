package driver

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

// encodeParts converts what a host tells of parts of prompts to its wire messages.
func encodeParts(m quarantiner.Message, w *wire.HostStatus) {
	for _, c := range m.Crashes {
		w.Crashes = append(w.Crashes, &wire.ServerCrash{Server: string(c.Server), StartedUnixMs: c.StartedUnixMillis, AgeMs: toMillis(c.Age), Parts: encodePartList(c.Parts)})
	}
	for _, a := range m.Answers {
		w.AnsweredParts = append(w.AnsweredParts, &wire.AnsweredPart{Part: uint64(a.Part), AgeMs: toMillis(a.Age)})
	}
	for _, q := range m.Quarantines {
		w.Quarantines = append(w.Quarantines, &wire.PartQuarantine{
			Part: uint64(q.Part), AgeMs: toMillis(q.Age), IdleMs: toMillis(q.IdleFor), Permits: toUint32(q.Permits), Used: toUint32(q.Used), Holder: string(q.Holder), IsUsed: q.IsUsed,
			IsDiscriminating: q.IsDiscriminating, Rivals: encodePartList(q.Rivals),
		})
	}
	for _, c := range m.Claims {
		w.PermitRequests = append(w.PermitRequests, &wire.PermitRequest{
			Part: uint64(c.Parts[0]), OtherParts: encodePartList(c.Parts[1:]), Host: string(c.Host), IsDiscriminating: c.IsDiscriminating, AgeMs: toMillis(c.Age),
		})
	}
}

func encodePartList(parts []quarantiner.Part) []uint64 {
	list := make([]uint64, 0, len(parts))
	for _, p := range parts {
		list = append(list, uint64(p))
	}
	return list
}

func decodePartList(list []uint64) []quarantiner.Part {
	var parts []quarantiner.Part
	for _, p := range list {
		parts = append(parts, quarantiner.Part(p))
	}
	return parts
}

// decodeParts returns what a host tells of parts of prompts.
func decodeParts(w *wire.HostStatus) quarantiner.Message {
	var m quarantiner.Message
	for _, c := range w.GetCrashes() {
		crash := quarantiner.Crash{Age: fromMillis(c.GetAgeMs()), Parts: decodePartList(c.GetParts())}
		crash.Server, crash.StartedUnixMillis = fuchsiapitch.ServerID(c.GetServer()), c.GetStartedUnixMs()
		m.Crashes = append(m.Crashes, crash)
	}
	for _, a := range w.GetAnsweredParts() {
		m.Answers = append(m.Answers, quarantiner.Answer{Part: quarantiner.Part(a.GetPart()), Age: fromMillis(a.GetAgeMs())})
	}
	for _, q := range w.GetQuarantines() {
		m.Quarantines = append(m.Quarantines, quarantiner.Quarantine{
			Part: quarantiner.Part(q.GetPart()), Age: fromMillis(q.GetAgeMs()), IdleFor: fromMillis(q.GetIdleMs()),
			Permits: int(q.GetPermits()), Used: int(q.GetUsed()), Holder: fuchsiapitch.HostID(q.GetHolder()), IsUsed: q.GetIsUsed(),
			IsDiscriminating: q.GetIsDiscriminating(), Rivals: decodePartList(q.GetRivals()),
		})
	}
	for _, r := range w.GetPermitRequests() {
		m.Claims = append(m.Claims, quarantiner.Claim{
			Host: fuchsiapitch.HostID(r.GetHost()), Parts: append([]quarantiner.Part{quarantiner.Part(r.GetPart())}, decodePartList(r.GetOtherParts())...),
			IsDiscriminating: r.GetIsDiscriminating(), Age: fromMillis(r.GetAgeMs()),
		})
	}
	return m
}

func toMillis(d time.Duration) uint32 { return toUint32(int(d.Milliseconds())) }

func fromMillis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
