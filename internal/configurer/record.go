package configurer

import "github.com/fuchsiapitch/fuchsiapitch"

// StreamName is the name of the log stream that holds the configuration.
const StreamName fuchsiapitch.StreamName = "config"

// Change is the new content, or the removal, of one document.
type Change struct {
	// Key identifies the document.
	Key Key
	// ParentRevision is the revision that the change replaces, 0 for a new
	// document.
	ParentRevision fuchsiapitch.Offset
	// Removed is true if the change removes the document.
	Removed bool
	// Content is the encoded document, empty for a removal.
	Content []byte
	// Document is the decoded content, or the zero document if this version
	// cannot decode it.
	Document Document
}

// Precondition is a condition of a publication: no document of a kind has
// changed after a revision. It protects invariants over several documents from
// concurrent publishers: references between documents, and sums over all
// documents of a kind.
type Precondition struct {
	// Kind is the kind of the documents.
	Kind Kind
	// LatestRevision is the highest revision of the kind that the publisher has
	// read.
	LatestRevision fuchsiapitch.Offset
}

// Publication is an atomic set of changes: all are accepted or all are
// rejected. A publication is identified by the identifier of its log record.
type Publication struct {
	// Publisher is the name of the operator.
	Publisher string
	Changes   []Change
	// Preconditions are checked in addition to the parent revisions of the changes.
	Preconditions []Precondition
}

// Entry is the current state of one document. A removed document is kept as a
// tombstone without content, so that its revision never decreases.
type Entry struct {
	// Key identifies the document.
	Key Key
	// Revision is the offset of the record that last changed the document.
	Revision fuchsiapitch.Offset
	// Removed is true if the entry is the tombstone of a removed document.
	Removed bool
	// PublicationID identifies the publication that last changed the document.
	PublicationID fuchsiapitch.RecordID
	// Publisher is the name of the operator who last changed the document.
	Publisher string
	// Content is the encoded document.
	Content []byte
	// Document is the decoded content, or the zero document if this version
	// cannot decode it.
	Document Document
}

// Conflict describes why a publication was rejected.
type Conflict struct {
	// Key identifies the first document whose parent revision or precondition was
	// not current.
	Key Key
	// CurrentRevision is the revision of the document when the publication was applied.
	CurrentRevision fuchsiapitch.Offset
	// PublicationID identifies the publication that made this revision, "" if
	// there is none.
	PublicationID fuchsiapitch.RecordID
	// Publisher is the name of the operator of that publication.
	Publisher string
}

// PublicationOutcome records whether a publication was accepted.
type PublicationOutcome struct {
	// PublicationID identifies the publication.
	PublicationID fuchsiapitch.RecordID
	// Offset is the offset of its first record. A retried append may have written
	// further records.
	Offset fuchsiapitch.Offset
	// Accepted is true if all changes took effect at the offset.
	Accepted bool
	// Conflict describes why the publication was rejected. It is zero if the
	// publication was accepted.
	Conflict Conflict
}

// Snapshot is the state of a state machine after an offset. A checkpoint record
// contains a full snapshot. A snapshot that is transferred between entry hosts
// contains only the changes since the offset of the receiver.
type Snapshot struct {
	// Offset is the offset of the last applied record.
	Offset fuchsiapitch.Offset
	// Since is the offset after which changes are included, 0 for a full snapshot.
	Since fuchsiapitch.Offset
	// Hash is the hash of all entries at Offset, also of those that are not included.
	Hash uint64
	// Entries are the included entries, ordered by key.
	Entries []Entry
	// Outcomes are the outcomes of the latest publications after Since, the oldest
	// first.
	Outcomes []PublicationOutcome
}

// RecordBody is the decoded content of a record of the configuration stream: a
// Publication or a Snapshot.
type RecordBody interface{ isRecordBody() }

func (Publication) isRecordBody() {}
func (Snapshot) isRecordBody()    {}

// DecodeFunc decodes the data of a record. It returns an error for data that
// this version cannot decode.
type DecodeFunc func(data []byte) (RecordBody, error)
