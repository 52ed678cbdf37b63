package fuchsiapitch

import "context"

// Record is an entry in a stream of the platform's log.
type Record struct {
	id     RecordID
	offset Offset
	data   []byte
}

// NewRecord returns a record that has not been appended yet.
func NewRecord(id RecordID, data []byte) Record {
	return Record{id: id, data: data}
}

// WithOffset returns a copy of the record with the offset at which it was appended.
func (r Record) WithOffset(offset Offset) Record {
	r.offset = offset
	return r
}

// ID returns the identifier that the writer assigned to the record.
func (r Record) ID() RecordID { return r.id }

// Offset returns the offset of the record, or 0 if it has not been appended.
func (r Record) Offset() Offset { return r.offset }

// Data returns the encoded content of the record. Callers must not change it.
func (r Record) Data() []byte { return r.data }

// Batch is the result of one read of a stream.
type Batch struct {
	records      []Record
	oldestOffset Offset
	nextOffset   Offset
}

// NewBatch returns a batch. The records are in the order of their offsets,
// oldestOffset is the oldest offset that the log retains, and nextOffset is where the
// next read continues.
func NewBatch(records []Record, oldestOffset, nextOffset Offset) Batch {
	return Batch{records: records, oldestOffset: oldestOffset, nextOffset: nextOffset}
}

// Records returns the records in the order of their offsets.
func (b Batch) Records() []Record { return b.records }

// OldestOffset returns the oldest offset that the log retains.
func (b Batch) OldestOffset() Offset { return b.oldestOffset }

// NextOffset returns the offset at which the next read continues.
func (b Batch) NextOffset() Offset { return b.nextOffset }

// Log is the platform's append-only log service.
//
// The response to an append may be lost after the append took effect. A writer
// therefore assigns a unique identifier to each record and reads the stream back
// before it appends the same record again. A reader applies each identifier once.
//
// The log retains records for a limited time. A read from an offset that is no longer
// retained fails with a LogTruncatedError; the reader then restores its state from a
// checkpoint record or from another entry host.
type Log interface {
	// Append appends a record to a stream and returns its offset. It returns an
	// UnavailableError if the record was certainly not appended, and an
	// UncertainAppendError if it may have been.
	Append(ctx context.Context, stream StreamName, record Record) (Offset, error)

	// Read returns up to limit records of a stream, starting at an offset. If there
	// are none yet, it waits until a record arrives, the context ends or the time
	// limit of the log service expires; without a record it returns an empty batch.
	Read(ctx context.Context, stream StreamName, from Offset, limit int) (Batch, error)
}
