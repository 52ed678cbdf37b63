// Package configurer builds the configuration by applying the records of the
// configuration stream of the platform's log, as a replicated state machine. It
// is pure and deterministic: entry hosts that have applied the same records
// hold the same documents with the same revisions.
//
// The revision of a document is the offset of the record that last changed it.
// Publishing uses optimistic concurrency control. For each document that it
// changes, a publication gives the revision that it replaces, the parent
// revision. The publication is atomic: it is accepted if every parent revision
// is current, and rejected otherwise. Of two conflicting publications, every
// host therefore accepts the one that is earlier in the log, and no document
// returns to an earlier revision.
//
// The state machine does not validate the content of documents. Hosts that run
// different versions therefore accept the same publications. Content is stored
// unchanged, including fields and kinds that this version does not know.
package configurer
