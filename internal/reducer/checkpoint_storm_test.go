package reducer

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
)

// linkedHost reads the stream over a link on which a record takes a time.
type linkedHost struct {
	state      *State
	nextOffset int
	// receivedAt is the time at which the record at nextOffset has been received, 0 while
	// there is none.
	receivedAt time.Duration
}

// slowStream is a stream whose readers have slow links.
type slowStream struct {
	records      []fuchsiapitch.Record
	oldestOffset int
	transferTime time.Duration
}

func (s *slowStream) append(t *testing.T, id fuchsiapitch.RecordID, body configurer.RecordBody) {
	t.Helper()
	data, err := encoder.EncodeConfigurationRecord(body)
	if err != nil {
		t.Fatalf("encode: got error %v, want none", err)
	}
	s.appendRecord(fuchsiapitch.NewRecord(id, data))
}

func (s *slowStream) appendRecord(r fuchsiapitch.Record) {
	s.records = append(s.records, r.WithOffset(fuchsiapitch.Offset(len(s.records)+1)))
}

// advance receives at most one record and applies a tick.
func (s *slowStream) advance(now time.Duration, h *linkedHost) {
	if h.nextOffset <= len(s.records) && h.receivedAt == 0 {
		h.receivedAt = now + s.transferTime
	}
	if h.nextOffset < s.oldestOffset {
		h.state.Apply(at(now), StreamTruncated{Stream: ConfigurationStream, Oldest: fuchsiapitch.Offset(s.oldestOffset)})
		h.nextOffset, h.receivedAt = s.oldestOffset, 0
	}
	if h.receivedAt > 0 && now >= h.receivedAt {
		batch := fuchsiapitch.NewBatch(s.records[h.nextOffset-1:h.nextOffset], fuchsiapitch.Offset(max(s.oldestOffset, 1)), fuchsiapitch.Offset(h.nextOffset+1))
		h.state.Apply(at(now), RecordsRead{Stream: ConfigurationStream, From: fuchsiapitch.Offset(h.nextOffset), Batch: batch})
		h.nextOffset++
		h.receivedAt = 0
	}
	for _, e := range h.state.Apply(at(now), Ticked{}) {
		if a, ok := e.(AppendRecord); ok && a.Stream == ConfigurationStream {
			s.appendRecord(a.Record)
		}
	}
}

// start appends a publication and its checkpoint, and starts hosts that read them. It
// returns the number of records and the hosts.
func (s *slowStream) start(t *testing.T, hostCount int) (int, []*linkedHost) {
	t.Helper()
	publication := configurer.Publication{Changes: []configurer.Change{{Key: configurer.NewKey(configurer.RankKind, "a"), Content: []byte("1")}}}
	sm := configurer.NewStateMachine()
	sm.ApplyPublication("publication", 1, publication)
	s.append(t, "publication", publication)
	s.append(t, "checkpoint", sm.Snapshot())
	var hosts []*linkedHost
	for i := range hostCount {
		host := fuchsiapitch.NewHost(fuchsiapitch.HostID(fmt.Sprint("host-", i)), "127.0.0.1:1", "gt-xela", 1)
		hosts = append(hosts, &linkedHost{state: New(host), nextOffset: 1})
	}
	return len(s.records), hosts
}

// At the target size a checkpoint of 6,000 documents takes 2 s to be read at 20 Mbit/s.
// Hosts that have not read it yet append theirs, which all hosts have to read as well.
func TestFewHostsAppendCheckpointOverSlowLinks(t *testing.T) {
	const (
		hostCount = 410
		want      = 10
		step      = 500 * time.Millisecond
	)
	for _, transferTime := range []time.Duration{0, 2 * time.Second} {
		t.Run(transferTime.String(), func(t *testing.T) {
			s := &slowStream{transferTime: transferTime}
			initialCount, hosts := s.start(t, hostCount)
			for now := step; now < checkpointInterval; now += step {
				for _, h := range hosts {
					s.advance(now, h)
				}
			}
			if got := len(s.records) - initialCount; got > want {
				t.Errorf("got %d checkpoints of %d hosts in %s, want at most %d", got, hostCount, checkpointInterval, want)
			}
		})
	}
}

// When the log drops the last checkpoint, another one is appended within
// firstCheckpointStagger, by few hosts also while it is being read.
func TestFewHostsAppendCheckpointAfterTruncationOverSlowLinks(t *testing.T) {
	const (
		hostCount = 410
		want      = 10
		step      = 100 * time.Millisecond
	)
	s := &slowStream{}
	_, hosts := s.start(t, hostCount)
	for now := step; now < time.Second; now += step {
		for _, h := range hosts {
			s.advance(now, h)
		}
	}
	s.transferTime = 2 * time.Second
	s.append(t, "publication 2", configurer.Publication{})
	initialCount := len(s.records)
	s.oldestOffset = initialCount
	for now := time.Second; now < time.Minute; now += step {
		for _, h := range hosts {
			s.advance(now, h)
		}
		if got := len(s.records) - initialCount; now == time.Second+s.transferTime+firstCheckpointStagger && got == 0 {
			t.Errorf("got no checkpoint within %s, want one", now)
		}
	}
	if got := len(s.records) - initialCount; got > want {
		t.Errorf("got %d checkpoints of %d hosts, want at most %d", got, hostCount, want)
	}
}

// The hosts that would append first may have failed, be cut off or stand still. The
// others append a checkpoint in time, whichever they are.
func TestCheckpointIsAppendedInTimeWithoutFirstHosts(t *testing.T) {
	const (
		hostCount = 410
		step      = 500 * time.Millisecond
	)
	for _, remaining := range []int{1, 4, 58} {
		t.Run(fmt.Sprint(remaining), func(t *testing.T) {
			s := &slowStream{}
			initialCount, hosts := s.start(t, hostCount)
			now := step
			for ; now < 2*time.Second; now += step {
				for _, h := range hosts {
					s.advance(now, h)
				}
			}
			planned := now
			slices.SortFunc(hosts, func(a, b *linkedHost) int {
				return cmp.Compare(a.state.replication.checkpoint.dueAt, b.state.replication.checkpoint.dueAt)
			})
			for ; now < planned+checkpointInterval+checkpointStagger; now += step {
				for _, h := range hosts[hostCount-remaining:] {
					s.advance(now, h)
				}
			}
			if got := len(s.records) - initialCount; got == 0 {
				t.Errorf("got no checkpoint of the last %d of %d hosts within %s, want one", remaining, hostCount, now)
			}
		})
	}
}

// A checkpoint that the log rejects each time, for example because it is larger than a
// record may be, is not sent by every host again and again.
func TestRejectedCheckpointIsRepeatedSeldom(t *testing.T) {
	const want = 10
	s := &slowStream{}
	s.append(t, "publication", configurer.Publication{Changes: []configurer.Change{{Key: configurer.NewKey(configurer.RankKind, "a"), Content: []byte("1")}}})
	state := New(self)
	state.Apply(at(0), RecordsRead{Stream: ConfigurationStream, From: 1, Batch: fuchsiapitch.NewBatch(s.records, 1, 2)})
	got := 0
	for now := time.Second; now < time.Hour; now += time.Second {
		for _, e := range state.Apply(at(now), Ticked{}) {
			if a, ok := e.(AppendRecord); ok && a.Stream == ConfigurationStream {
				got++
				state.Apply(at(now), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: NotAppended})
			}
		}
	}
	if got > want {
		t.Errorf("got %d appends in an hour, want at most %d", got, want)
	}
}

// tickUntil applies ticks each 100 ms and returns the time of the first append to the
// configuration stream, 0 if there is none. Every append is rejected.
func tickUntil(state *State, from, end time.Duration) time.Duration {
	var first time.Duration
	for now := from; now < end; now += TickPeriod {
		for _, e := range state.Apply(at(now), Ticked{}) {
			a, ok := e.(AppendRecord)
			if !ok || a.Stream != ConfigurationStream {
				continue
			}
			if first == 0 {
				first = now
			}
			state.Apply(at(now), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: NotAppended})
		}
	}
	return first
}

// However often the log has rejected a checkpoint, the next one follows in time: within
// the longest time between two checkpoints, and at once when the log drops the last one.
func TestCheckpointIsAppendedInTimeAfterRejections(t *testing.T) {
	const outage = 6 * time.Hour
	s := &slowStream{}
	_, hosts := s.start(t, 1)
	state := hosts[0].state
	state.Apply(at(0), RecordsRead{Stream: ConfigurationStream, From: 1, Batch: fuchsiapitch.NewBatch(s.records, 1, 3)})
	if got := tickUntil(state, 0, outage); got == 0 || got > checkpointStagger {
		t.Fatalf("got the first append at %s, want one within %s", got, checkpointStagger)
	}
	end := outage + checkpointInterval + checkpointStagger
	if got := tickUntil(state, outage, end); got == 0 {
		t.Errorf("got no append from %s to %s, want one", outage, end)
	}
	s.append(t, "publication 2", configurer.Publication{})
	state.Apply(at(end), RecordsRead{Stream: ConfigurationStream, From: 3, Batch: fuchsiapitch.NewBatch(s.records[2:], 3, 4)})
	if got := tickUntil(state, end, end+firstCheckpointStagger+TickPeriod); got == 0 {
		t.Errorf("got no append within %s of the truncation, want one", firstCheckpointStagger)
	}
}

// Hosts whose time came while the log was away do not all append a checkpoint when it
// returns.
func TestFewHostsAppendCheckpointAfterOutage(t *testing.T) {
	const (
		hostCount = 410
		want      = 10
		step      = 100 * time.Millisecond
		returnAt  = time.Hour
	)
	s := &slowStream{}
	initialCount, hosts := s.start(t, hostCount)
	for now := step; now < time.Second; now += step {
		for _, h := range hosts {
			s.advance(now, h)
		}
	}
	s.transferTime = 2 * time.Second
	for _, h := range hosts {
		h.state.Apply(at(time.Second), ReadFailed{Stream: ConfigurationStream})
		h.state.Apply(at(returnAt-step), Ticked{})
		from := fuchsiapitch.Offset(h.nextOffset)
		h.state.Apply(at(returnAt), RecordsRead{Stream: ConfigurationStream, From: from, Batch: fuchsiapitch.NewBatch(nil, 1, from)})
	}
	for now := returnAt; now < returnAt+time.Minute; now += step {
		for _, h := range hosts {
			s.advance(now, h)
		}
	}
	if got := len(s.records) - initialCount; got == 0 || got > want {
		t.Errorf("got %d checkpoints of %d hosts, want 1 to %d", got, hostCount, want)
	}
}

// A log that is away again and again defers a checkpoint that is due only once.
func TestCheckpointIsAppendedDespiteRepeatedOutages(t *testing.T) {
	s := &slowStream{}
	_, hosts := s.start(t, 1)
	state := hosts[0].state
	read := RecordsRead{Stream: ConfigurationStream, From: 3, Batch: fuchsiapitch.NewBatch(nil, 1, 3)}
	state.Apply(at(0), RecordsRead{Stream: ConfigurationStream, From: 1, Batch: fuchsiapitch.NewBatch(s.records, 1, 3)})
	const period = 2 * firstCheckpointStagger
	end := checkpointStagger + 2*period
	for now := period; now <= end; now += period {
		state.Apply(at(now-period+2*TickPeriod), ReadFailed{Stream: ConfigurationStream})
		tickUntil(state, now-period+2*TickPeriod, now)
		state.Apply(at(now), read)
		if got := tickUntil(state, now, now+TickPeriod); got > 0 {
			return
		}
	}
	t.Errorf("got no append within %s, want one", end)
}
