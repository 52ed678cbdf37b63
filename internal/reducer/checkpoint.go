package reducer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
)

const (
	// checkpointInterval is the shortest time from a checkpoint in the stream to
	// the next one.
	checkpointInterval = 10 * time.Minute
	// checkpointJitter is the longest delay by which a host staggers its
	// checkpoint.
	checkpointJitter = 5 * time.Minute
	// firstCheckpointJitter replaces checkpointJitter while the log holds no
	// checkpoint.
	firstCheckpointJitter = 10 * time.Second
	// checkpointRetryInterval is the time after which a checkpoint is appended
	// again if it has not appeared in the stream.
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
}

// tickCheckpoint appends a checkpoint of the configuration before the log
// truncates the records that it was built from.
//
// Every host schedules its checkpoint at a time staggered by a hash of its name
// and the offset of the last checkpoint. When a checkpoint appears in the
// stream, all hosts reschedule theirs, so that only a few hosts append the same
// state.
func (s *State) tickCheckpoint() {
	r := &s.replication
	if !r.ready || r.logUnavailable || r.follower.HasGap() || r.follower.StateMachine().Offset() == 0 {
		return
	}
	lastCheckpoint := r.follower.LastCheckpointOffset()
	if !r.checkpoint.planned || r.checkpoint.lastCheckpoint != lastCheckpoint {
		r.checkpoint = checkpointPlan{planned: true, lastCheckpoint: lastCheckpoint, dueAt: s.checkpointTime(lastCheckpoint)}
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
func (s *State) checkpointTime(lastCheckpoint fuchsiapitch.Offset) time.Duration {
	jitter := time.Duration(xxhash.Sum64String(fmt.Sprint(s.self, "/", lastCheckpoint)) % uint64(checkpointJitter))
	now := s.now.Monotonic()
	if lastCheckpoint == 0 {
		return now + jitter/(checkpointJitter/firstCheckpointJitter)
	}
	if s.replication.checkpoint.planned {
		return now + checkpointInterval + jitter
	}
	return now + jitter
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
