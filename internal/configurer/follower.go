package configurer

import "github.com/fuchsiapitch/fuchsiapitch"

// Follower applies the results of reads of the configuration stream to a state
// machine and determines the offset to read next. It recovers when the log has
// truncated records that were not applied yet.
//
// A checkpoint record holds the state after an earlier offset. When records are
// missing, the follower scans the stream from its oldest record for a
// checkpoint, restores its state and reads on from the offset of that state.
// If this offset lies within the gap, the next read reports the truncation
// again, and the scan is repeated.
type Follower struct {
	decode               DecodeFunc
	stateMachine         *StateMachine
	nextOffset           fuchsiapitch.Offset
	hasGap               bool
	lastCheckpointOffset fuchsiapitch.Offset
	oldestOffset         fuchsiapitch.Offset
	errors               []error
}

// NewFollower returns a follower that reads from the first record.
func NewFollower(decode DecodeFunc) *Follower {
	return &Follower{decode: decode, stateMachine: NewStateMachine(), nextOffset: 1}
}

// StateMachine returns the state machine with the records applied so far.
func (f *Follower) StateMachine() *StateMachine { return f.stateMachine }

// NextOffset returns the offset to read from.
func (f *Follower) NextOffset() fuchsiapitch.Offset { return f.nextOffset }

// HasGap reports whether the log has truncated records that were not applied.
// Only a checkpoint or the snapshot of a peer can replace them.
func (f *Follower) HasGap() bool { return f.hasGap }

// LastCheckpointOffset returns the offset of the last checkpoint record that
// was read, or 0 if there is none or the log has truncated it.
func (f *Follower) LastCheckpointOffset() fuchsiapitch.Offset {
	if f.lastCheckpointOffset < f.oldestOffset {
		return 0
	}
	return f.lastCheckpointOffset
}

// TakeErrors returns the errors found in checkpoints and clears them. A
// checkpoint is in error if it is damaged, would return a document to an earlier
// revision, or differs from the local state at the same offset. A valid stream
// contains no such checkpoint.
func (f *Follower) TakeErrors() []error {
	errors := f.errors
	f.errors = nil
	return errors
}

// ApplyTruncation handles a read that failed because the log has truncated all
// records before an offset. It reports whether reading must restart from
// NextOffset.
func (f *Follower) ApplyTruncation(oldest fuchsiapitch.Offset) bool {
	f.oldestOffset = max(f.oldestOffset, oldest)
	if oldest <= f.nextOffset {
		return false
	}
	f.hasGap = true
	f.nextOffset = oldest
	return true
}

// ApplyBatch applies a batch that was read starting at an offset. It reports
// whether reading must restart from NextOffset instead of continuing after the
// batch. A batch that starts after NextOffset is ignored.
func (f *Follower) ApplyBatch(from fuchsiapitch.Offset, batch fuchsiapitch.Batch) bool {
	if from > f.nextOffset {
		return true
	}
	f.oldestOffset = max(f.oldestOffset, batch.OldestOffset())
	for _, r := range batch.Records() {
		if r.Offset() < f.nextOffset {
			continue
		}
		if f.applyRecord(r) {
			return true
		}
		f.nextOffset = r.Offset() + 1
	}
	f.nextOffset = max(f.nextOffset, batch.NextOffset())
	return false
}

// applyRecord applies one record. It reports whether the state was restored
// from a checkpoint. Records that this version cannot decode are skipped.
func (f *Follower) applyRecord(record fuchsiapitch.Record) bool {
	body, err := f.decode(record.Data())
	if err != nil {
		body = nil
	}
	if s, ok := body.(Snapshot); ok {
		f.lastCheckpointOffset = record.Offset()
		f.verifyCheckpoint(s)
		if f.hasGap {
			return f.restoreCheckpoint(s)
		}
	}
	if f.hasGap {
		return false
	}
	if p, ok := body.(Publication); ok {
		f.stateMachine.ApplyPublication(record.ID(), record.Offset(), p)
		return false
	}
	f.stateMachine.SkipRecord(record.Offset())
	return false
}

func (f *Follower) restoreCheckpoint(snapshot Snapshot) bool {
	restored, err := f.Restore(snapshot)
	if err != nil {
		f.errors = append(f.errors, err)
	}
	return restored
}

// verifyCheckpoint compares the hash of a checkpoint with the hash of the local
// state, if both have the same offset.
func (f *Follower) verifyCheckpoint(snapshot Snapshot) {
	if snapshot.Offset == f.stateMachine.Offset() && snapshot.Hash != f.stateMachine.Hash() {
		f.errors = append(f.errors, &HashMismatchError{Offset: snapshot.Offset, StatedHash: snapshot.Hash, ComputedHash: f.stateMachine.Hash()})
	}
}

// Restore replaces the state by a snapshot with a higher offset, for example
// that of a peer, and reports whether it did. If so, reading must restart from
// NextOffset. It returns the errors of StateMachine.Restore.
func (f *Follower) Restore(snapshot Snapshot) (bool, error) {
	restored, err := f.stateMachine.Restore(snapshot)
	if restored {
		f.hasGap = false
		f.nextOffset = f.stateMachine.Offset() + 1
	}
	return restored, err
}
