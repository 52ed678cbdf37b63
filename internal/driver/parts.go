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
		parts := make([]uint64, 0, len(c.Parts))
		for _, p := range c.Parts {
			parts = append(parts, uint64(p))
		}
		w.Crashes = append(w.Crashes, &wire.ServerCrash{Server: string(c.Server), StartedUnixMs: c.StartedUnixMillis, AgeMs: toMillis(c.Age), Parts: parts})
	}
	for _, a := range m.Answers {
		w.AnsweredParts = append(w.AnsweredParts, &wire.AnsweredPart{Part: uint64(a.Part), AgeMs: toMillis(a.Age)})
	}
	for _, q := range m.Quarantines {
		w.Quarantines = append(w.Quarantines, &wire.PartQuarantine{
			Part: uint64(q.Part), AgeMs: toMillis(q.Age), IdleMs: toMillis(q.IdleFor), Permits: toUint32(q.Permits), Used: toUint32(q.Used), Holder: string(q.Holder), IsUsed: q.IsUsed,
		})
	}
	for _, r := range m.Wants {
		w.PermitRequests = append(w.PermitRequests, &wire.PermitRequest{Part: uint64(r.Part), Host: string(r.Host)})
	}
}

// decodeParts returns what a host tells of parts of prompts.
func decodeParts(w *wire.HostStatus) quarantiner.Message {
	var m quarantiner.Message
	for _, c := range w.GetCrashes() {
		crash := quarantiner.Crash{Age: fromMillis(c.GetAgeMs())}
		crash.Server, crash.StartedUnixMillis = fuchsiapitch.ServerID(c.GetServer()), c.GetStartedUnixMs()
		for _, p := range c.GetParts() {
			crash.Parts = append(crash.Parts, quarantiner.Part(p))
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for _, a := range w.GetAnsweredParts() {
		m.Answers = append(m.Answers, quarantiner.Answer{Part: quarantiner.Part(a.GetPart()), Age: fromMillis(a.GetAgeMs())})
	}
	for _, q := range w.GetQuarantines() {
		m.Quarantines = append(m.Quarantines, quarantiner.Quarantine{
			Part: quarantiner.Part(q.GetPart()), Age: fromMillis(q.GetAgeMs()), IdleFor: fromMillis(q.GetIdleMs()),
			Permits: int(q.GetPermits()), Used: int(q.GetUsed()), Holder: fuchsiapitch.HostID(q.GetHolder()), IsUsed: q.GetIsUsed(),
		})
	}
	for _, r := range w.GetPermitRequests() {
		m.Wants = append(m.Wants, quarantiner.Want{Part: quarantiner.Part(r.GetPart()), Host: fuchsiapitch.HostID(r.GetHost())})
	}
	return m
}

func toMillis(d time.Duration) uint32 { return toUint32(int(d.Milliseconds())) }

func fromMillis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
