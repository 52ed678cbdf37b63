package configurer

import "github.com/fuchsiapitch/fuchsiapitch"

// Follower takes in what reads of the configuration stream return, and decides
// where to read next. It closes the gap when the log has dropped records that
// were not folded yet.
//
// A checkpoint record holds the state after some earlier offset. After a gap
// the follower scans the stream from its oldest record for a checkpoint, takes
// its state and reads again from there. Where that state ends within the gap,
// the next read finds the rest of the gap, and the scan goes on.
type Follower struct {
	decode         Decode
	fold           *Fold
	next           fuchsiapitch.Offset
	scanning       bool
	lastCheckpoint fuchsiapitch.Offset
	oldest         fuchsiapitch.Offset
	faults         []error
}

// NewFollower returns a follower that starts before the first record.
func NewFollower(decode Decode) *Follower {
	return &Follower{decode: decode, fold: NewFold(), next: 1}
}

// Fold returns the state after the records that were taken in.
func (f *Follower) Fold() *Fold { return f.fold }

// Next returns the offset to read from.
func (f *Follower) Next() fuchsiapitch.Offset { return f.next }

// Scanning reports whether records are missing that only a checkpoint or the
// state of a peer can make up for.
func (f *Follower) Scanning() bool { return f.scanning }

// LastCheckpoint returns the offset of the newest checkpoint record, 0 if none
// was seen that the log still keeps.
func (f *Follower) LastCheckpoint() fuchsiapitch.Offset {
	if f.lastCheckpoint < f.oldest {
		return 0
	}
	return f.lastCheckpoint
}

// TakeFaults returns, once, what must never occur in a stream: a checkpoint that
// is damaged, would take a document back, or differs from this fold.
func (f *Follower) TakeFaults() []error {
	faults := f.faults
	f.faults = nil
	return faults
}

// Truncate takes in that a read failed because the log keeps nothing before an
// offset. It reports whether reading has to start anew from Next.
func (f *Follower) Truncate(oldest fuchsiapitch.Offset) bool {
	f.oldest = max(f.oldest, oldest)
	if oldest <= f.next {
		return false
	}
	f.scanning = true
	f.next = oldest
	return true
}

// Read takes in a batch that was read from an offset on. It reports whether
// reading has to start anew from Next, instead of going on after the batch. A
// batch that does not follow on from the records taken in before is ignored.
func (f *Follower) Read(from fuchsiapitch.Offset, batch fuchsiapitch.Batch) bool {
	if from > f.next {
		return true
	}
	f.oldest = max(f.oldest, batch.OldestOffset())
	for _, r := range batch.Records() {
		if r.Offset() < f.next {
			continue
		}
		if f.take(r) {
			return true
		}
		f.next = r.Offset() + 1
	}
	f.next = max(f.next, batch.NextOffset())
	return false
}

// take folds one record. It reports whether a checkpoint closed the gap.
func (f *Follower) take(record fuchsiapitch.Record) bool {
	body, err := f.decode(record.Data())
	if err != nil {
		body = nil
	}
	if s, ok := body.(Snapshot); ok {
		f.lastCheckpoint = record.Offset()
		f.compare(s)
		if f.scanning {
			return f.restore(s)
		}
	}
	if f.scanning {
		return false
	}
	if p, ok := body.(Publication); ok {
		f.fold.Publish(record.ID(), record.Offset(), p)
		return false
	}
	f.fold.Skip(record.Offset())
	return false
}

func (f *Follower) restore(snapshot Snapshot) bool {
	restored, err := f.Restore(snapshot)
	if err != nil {
		f.faults = append(f.faults, err)
	}
	return restored
}

// compare checks a checkpoint of exactly the state that this fold has.
func (f *Follower) compare(snapshot Snapshot) {
	if snapshot.Offset == f.fold.Offset() && snapshot.Hash != f.fold.Hash() {
		f.faults = append(f.faults, &HashError{Offset: snapshot.Offset, Stated: snapshot.Hash, Computed: f.fold.Hash()})
	}
}

// Restore takes the state of a peer if its offset is higher, and reports
// whether it did. Reading then has to start anew from Next. It returns the
// errors of Fold.Restore.
func (f *Follower) Restore(snapshot Snapshot) (bool, error) {
	restored, err := f.fold.Restore(snapshot)
	if restored {
		f.scanning = false
		f.next = f.fold.Offset() + 1
	}
	return restored, err
}
