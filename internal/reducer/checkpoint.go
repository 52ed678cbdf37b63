package reducer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
)

const (
	// checkpointPeriod is the least time between two checkpoints of a stream.
	checkpointPeriod = 10 * time.Minute
	// checkpointSpread is the time over which the hosts spread their turns.
	checkpointSpread = 5 * time.Minute
	// urgentSpread is the spread when the log keeps no checkpoint.
	urgentSpread = 10 * time.Second
	// checkpointRetry is the time after which a checkpoint that has not shown
	// up in the stream is appended again.
	checkpointRetry = 30 * time.Second
)

// checkpointPlan is this host's turn to append the next checkpoint.
type checkpointPlan struct {
	planned bool
	last    fuchsiapitch.Offset
	due     time.Duration
}

// planCheckpoint appends the state before the log drops what it was made of.
//
// Every host plans a turn at a time that its name and the last checkpoint
// spread over some minutes. A checkpoint that shows up in the stream cancels
// the turns of all others, so that a few hosts at most append the same state.
func (s *State) planCheckpoint() {
	c := &s.following
	if !c.ready || c.logAway || c.follower.Scanning() || c.follower.Fold().Offset() == 0 {
		return
	}
	last := c.follower.LastCheckpoint()
	if !c.checkpoint.planned || c.checkpoint.last != last {
		c.checkpoint = checkpointPlan{planned: true, last: last, due: s.checkpointTurn(last)}
	}
	if s.now.Monotonic() < c.checkpoint.due {
		return
	}
	c.checkpoint.due = s.now.Monotonic() + checkpointRetry
	s.appendCheckpoint()
}

// checkpointTurn returns the time of this host's turn. A host that has just
// started does not know the age of the last checkpoint and assumes an old one.
func (s *State) checkpointTurn(last fuchsiapitch.Offset) time.Duration {
	share := time.Duration(xxhash.Sum64String(fmt.Sprint(s.self, "/", last)) % uint64(checkpointSpread))
	now := s.now.Monotonic()
	if last == 0 {
		return now + share/(checkpointSpread/urgentSpread)
	}
	if s.following.checkpoint.planned {
		return now + checkpointPeriod + share
	}
	return now + share
}

// appendCheckpoint appends the state. Its identifier follows from the state,
// so that equal checkpoints of several hosts are one record to a reader.
func (s *State) appendCheckpoint() {
	snapshot := s.following.follower.Fold().Snapshot()
	data, err := encoder.EncodeConfiguration(snapshot)
	if err != nil {
		s.violate("configuration-checkpoint", err.Error())
		return
	}
	id := fuchsiapitch.RecordID(fmt.Sprintf("checkpoint-%d-%x", snapshot.Offset, snapshot.Hash))
	s.emit(AppendRecord{Stream: ConfigurationStream, Record: fuchsiapitch.NewRecord(id, data)})
}
