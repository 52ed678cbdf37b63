package reducer

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
)

const (
	// checkpointInterval is the shortest time from a checkpoint in the stream to
	// the next one.
	checkpointInterval = 10 * time.Minute
	// checkpointStagger is the longest delay by which a host staggers its
	// checkpoint.
	checkpointStagger = 5 * time.Minute
	// firstCheckpointStagger replaces checkpointStagger while the log holds no
	// checkpoint.
	firstCheckpointStagger = 10 * time.Second
	// staggerExponent is ln(410)+1, for the 410 hosts of the target size.
	staggerExponent = 7
	// checkpointRetryInterval is the time after which a checkpoint is appended
	// again if it has not appeared in the stream. It doubles with each attempt, up
	// to checkpointInterval.
	checkpointRetryInterval = 30 * time.Second
)

// checkpointPlan is the schedule of this host's next checkpoint.
type checkpointPlan struct {
	// planned is true once dueAt has been set.
	planned bool
	// lastCheckpoint is the offset of the checkpoint on which the plan is based.
	lastCheckpoint fuchsiapitch.Offset
	// dueAt is the monotonic time at which the checkpoint is appended, unless
	// another one appears in the stream first.
	dueAt time.Duration
	// attemptCount is the number of times that the checkpoint was appended.
	attemptCount int
	// missed is true if the checkpoint became due while this host could not append
	// it. The checkpoint is deferred once for that.
	missed, deferred bool
}

// tickCheckpoint appends a checkpoint of the configuration before the log
// truncates the records that it was built from.
//
// Every host schedules its checkpoint at a time staggered by a hash of its name
// and the offset of the last checkpoint. When a checkpoint appears in the
// stream, all hosts reschedule theirs. Hosts whose time comes before they have
// read it append the same state again.
func (s *State) tickCheckpoint() {
	r := &s.replication
	if !r.ready || r.logUnavailable || r.follower.HasGap() || r.follower.StateMachine().Offset() == 0 {
		p := &r.checkpoint
		p.missed = p.missed || p.planned && !p.deferred && s.now.Monotonic() >= p.dueAt
		return
	}
	lastCheckpoint := r.follower.LastCheckpointOffset()
	if !r.checkpoint.planned || r.checkpoint.lastCheckpoint != lastCheckpoint {
		r.checkpoint = checkpointPlan{planned: true, lastCheckpoint: lastCheckpoint, dueAt: s.checkpointTime(lastCheckpoint)}
	}
	s.deferMissedCheckpoint()
	if s.now.Monotonic() < r.checkpoint.dueAt {
		return
	}
	r.checkpoint.dueAt = s.now.Monotonic() + s.checkpointRetryDelay()
	r.checkpoint.attemptCount++
	r.checkpoint.deferred = false
	s.appendCheckpoint()
}

// deferMissedCheckpoint staggers a checkpoint that became due while the log was away,
// since it did so at many hosts. It does it once, so that a log that is away again
// and again does not prevent the checkpoint.
func (s *State) deferMissedCheckpoint() {
	p := &s.replication.checkpoint
	if !p.missed {
		return
	}
	p.missed, p.deferred = false, true
	p.dueAt = s.now.Monotonic() + stagger(firstCheckpointStagger, s.checkpointFraction(fmt.Sprint(p.lastCheckpoint)))
}

// checkpointTime returns the monotonic time at which this host appends its next
// checkpoint. A host that has just started does not know the age of the last
// checkpoint and assumes that the checkpoint interval has passed.
func (s *State) checkpointTime(lastCheckpoint fuchsiapitch.Offset) time.Duration {
	fraction := s.checkpointFraction(fmt.Sprint(lastCheckpoint))
	now := s.now.Monotonic()
	if lastCheckpoint == 0 {
		return now + stagger(firstCheckpointStagger, fraction)
	}
	if s.replication.checkpoint.planned {
		return now + checkpointInterval + stagger(checkpointStagger, fraction)
	}
	return now + stagger(checkpointStagger, fraction)
}

// checkpointRetryDelay returns the time to the next attempt. A log that rejects a
// checkpoint, for example because it is too large, rejects those of all hosts: none
// reads one and cancels its own. The delay is spread evenly over half of itself, so
// that the hosts do not send theirs at the same time.
func (s *State) checkpointRetryDelay() time.Duration {
	p := s.replication.checkpoint
	delay := checkpointRetryInterval
	for i := 0; i < p.attemptCount && delay < checkpointInterval; i++ {
		delay *= 2
	}
	delay = min(delay, checkpointInterval)
	return delay + time.Duration(float64(delay/2)*s.checkpointFraction(fmt.Sprint(p.lastCheckpoint, "/", p.attemptCount)))
}

// checkpointFraction returns a pseudo-random number in [0, 1). It differs
// between hosts and between labels.
func (s *State) checkpointFraction(label string) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(s.self, "/", label))>>11) / (1 << 53)
}

// stagger maps uniformly distributed fractions to delays up to a limit with the
// truncated exponential distribution of RFC 5401. Few hosts have a short delay and
// most a long one, so that about one host is the first by a margin, however many
// of them run.
func stagger(limit time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(limit) * math.Log1p(fraction*math.Expm1(staggerExponent)) / staggerExponent)
}

// appendCheckpoint appends a snapshot of the configuration. The record
// identifier is derived from the offset and the hash, so that readers treat
// equal checkpoints of several hosts as one record.
func (s *State) appendCheckpoint() {
	snapshot := s.replication.follower.StateMachine().Snapshot()
	data, err := encoder.EncodeConfigurationRecord(snapshot)
	if err != nil {
		s.reportViolation("configuration-checkpoint", err.Error())
		return
	}
	id := fuchsiapitch.RecordID(fmt.Sprintf("checkpoint-%d-%x", snapshot.Offset, snapshot.Hash))
	s.emit(AppendRecord{Stream: ConfigurationStream, Record: fuchsiapitch.NewRecord(id, data)})
}
