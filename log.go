package fuchsiapitch

import "context"

// Record is one entry of a stream of the platform's log.
type Record struct {
	id     RecordID
	offset Offset
	data   []byte
}

// NewRecord returns a record that has not been appended yet.
func NewRecord(id RecordID, data []byte) Record {
	return Record{id: id, data: data}
}

// At returns the record as it stands at an offset of its stream.
func (r Record) At(offset Offset) Record {
	r.offset = offset
	return r
}

// ID returns the identifier that the writer gave to the record.
func (r Record) ID() RecordID { return r.id }

// Offset returns the offset of the record, 0 before it is appended.
func (r Record) Offset() Offset { return r.offset }

// Data returns the encoded content of the record. Callers must not change it.
func (r Record) Data() []byte { return r.data }

// Batch is the result of one read of a stream.
type Batch struct {
	records []Record
	oldest  Offset
	next    Offset
}

// NewBatch returns a batch of records in the order of their offsets, the
// oldest offset that the log still keeps and the offset to read from next.
func NewBatch(records []Record, oldest, next Offset) Batch {
	return Batch{records: records, oldest: oldest, next: next}
}

// Records returns the records in the order of their offsets.
func (b Batch) Records() []Record { return b.records }

// Oldest returns the oldest offset that the log still keeps.
func (b Batch) Oldest() Offset { return b.oldest }

// Next returns the offset to read from next.
func (b Batch) Next() Offset { return b.next }

// Log is the platform's append-only log service.
//
// An answer to Append may be lost after the append took effect. A writer
// therefore gives each record a unique identifier and reads back before it
// appends the same record again; a reader folds an identifier once.
//
// Records are kept for a limited time. A read from an offset that is no longer
// kept fails with a TruncatedError; the reader then takes its state from a
// checkpoint record or from a peer.
type Log interface {
	// Append adds a record to a stream and returns its offset. It returns an
	// UnavailableError when the record was certainly not appended, and an
	// UncertainError when it may have been.
	Append(ctx context.Context, stream StreamName, record Record) (Offset, error)

	// Read returns up to limit records of a stream from an offset on. When the
	// stream has none, it waits for the first until the context ends or the
	// service's own limit passes, and then returns an empty batch.
	Read(ctx context.Context, stream StreamName, from Offset, limit int) (Batch, error)
}
