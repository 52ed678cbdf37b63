package reducer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
)

const (
	// checkpointInterval is the shortest time between two checkpoints of a
	// stream.
	checkpointInterval = 10 * time.Minute
	// checkpointJitter is the range of the delay by which hosts stagger their
	// checkpoints.
	checkpointJitter = 5 * time.Minute
	// firstCheckpointJitter replaces checkpointJitter while the log holds no
	// checkpoint.
	firstCheckpointJitter = 10 * time.Second
	// checkpointRetryInterval is the time after which a checkpoint that has not
	// appeared in the stream is appended again.
	checkpointRetryInterval = 30 * time.Second
)

// checkpointPlan states when this host appends the next checkpoint.
type checkpointPlan struct {
	planned bool
	// lastCheckpoint is the offset of the checkpoint on which the plan is based.
	lastCheckpoint fuchsiapitch.Offset
	// dueAt is the monotonic time of the append.
	dueAt time.Duration
}

// tickCheckpoint appends a checkpoint of the configuration before the log drops
// the records that it was folded from.
//
// Every host schedules its checkpoint at a time staggered by a hash of its name
// and the offset of the last checkpoint. A checkpoint that appears in the stream
// reschedules those of all hosts, so that at most a few hosts append the same
// state.
func (s *State) tickCheckpoint() {
	r := &s.replication
	if !r.ready || r.logUnavailable || r.follower.HasGap() || r.follower.StateMachine().Offset() == 0 {
		return
	}
	last := r.follower.LastCheckpointOffset()
	if !r.checkpoint.planned || r.checkpoint.lastCheckpoint != last {
		r.checkpoint = checkpointPlan{planned: true, lastCheckpoint: last, dueAt: s.checkpointTime(last)}
	}
	if s.now.Monotonic() < r.checkpoint.dueAt {
		return
	}
	r.checkpoint.dueAt = s.now.Monotonic() + checkpointRetryInterval
	s.appendCheckpoint()
}

// checkpointTime returns the monotonic time at which this host appends its next
// checkpoint. A host that has just started does not know the age of the last
// checkpoint and assumes that the checkpoint interval has passed.
func (s *State) checkpointTime(last fuchsiapitch.Offset) time.Duration {
	jitter := time.Duration(xxhash.Sum64String(fmt.Sprint(s.self, "/", last)) % uint64(checkpointJitter))
	now := s.now.Monotonic()
	if last == 0 {
		return now + jitter/(checkpointJitter/firstCheckpointJitter)
	}
	if s.replication.checkpoint.planned {
		return now + checkpointInterval + jitter
	}
	return now + jitter
}

// appendCheckpoint appends the folded configuration. The record identifier is
// derived from the offset and the hash, so that readers take equal checkpoints of
// several hosts for one record.
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
