package configurer

import "github.com/fuchsiapitch/fuchsiapitch"

// Stream is the stream of the log that holds the configuration.
const Stream fuchsiapitch.StreamName = "config"

// Change is the new content, or the removal, of one document.
type Change struct {
	// Key names the document.
	Key Key
	// Parent is the revision that the change replaces, 0 for a new document.
	Parent fuchsiapitch.Offset
	// Removed states that the document is removed.
	Removed bool
	// Content is the encoded document, empty for a removal.
	Content []byte
	// Document is the decoded content, the zero document if it is not understood.
	Document Document
}

// Guard is a condition of a publication: no document of a kind has changed
// after a revision. It protects references between documents of racing
// publishers, and sums over a whole kind.
type Guard struct {
	// Kind is the kind of the documents.
	Kind Kind
	// Revision is the highest revision of the kind that the publisher has seen.
	Revision fuchsiapitch.Offset
}

// Publication is a set of changes that is accepted or rejected as a whole. The
// identifier of its log record is the identifier of the publication.
type Publication struct {
	// Publisher names the operator.
	Publisher string
	// Changes are the changes.
	Changes []Change
	// Guards are the conditions besides the parents of the changes.
	Guards []Guard
}

// Entry is the current state of one document. A removed document stays as an
// entry without content, so that its revision never falls.
type Entry struct {
	// Key names the document.
	Key Key
	// Revision is the offset of the record that last changed the document.
	Revision fuchsiapitch.Offset
	// Removed states that the document is removed.
	Removed bool
	// Publication identifies the publication that last changed the document.
	Publication fuchsiapitch.RecordID
	// Publisher names the operator who last changed the document.
	Publisher string
	// Content is the encoded document.
	Content []byte
	// Document is the decoded content, the zero document if it is not understood.
	Document Document
}

// Loss states why a publication was rejected.
type Loss struct {
	// Key is the first document whose parent or guard was not current.
	Key Key
	// Revision is the revision that stands in place of the parent.
	Revision fuchsiapitch.Offset
	// Publication identifies the publication that won, "" if there is none.
	Publication fuchsiapitch.RecordID
	// Publisher names the operator who won.
	Publisher string
}

// Outcome is what became of one publication.
type Outcome struct {
	// Publication identifies the publication.
	Publication fuchsiapitch.RecordID
	// Offset is the offset of its first record.
	Offset fuchsiapitch.Offset
	// Accepted states that every change is in force from the offset on.
	Accepted bool
	// Loss states why it was rejected.
	Loss Loss
}

// Snapshot is the state of a fold after an offset. It is the content of a
// checkpoint record, which is whole, and of the state that one entry host gives
// another, which holds only what has changed since an offset of the other.
type Snapshot struct {
	// Offset is the offset of the last folded record.
	Offset fuchsiapitch.Offset
	// Since is the offset after which changes are included, 0 for all.
	Since fuchsiapitch.Offset
	// Hash is the hash of all entries at Offset, included or not.
	Hash uint64
	// Entries are the documents in the order of their keys.
	Entries []Entry
	// Outcomes are the outcomes of the last publications, the oldest first.
	Outcomes []Outcome
}

// Body is the decoded content of a record of the configuration stream.
type Body interface{ body() }

func (Publication) body() {}
func (Snapshot) body()    {}

// Decode returns the content of a record. It returns an error for data that
// this version does not understand.
type Decode func(data []byte) (Body, error)
