// Package configurer folds the configuration stream of the platform's log into
// one configuration. It is pure and deterministic: every entry host that has
// folded the same records holds the same documents with the same revisions.
//
// The revision of a document is the offset of the record that last changed it.
// A publication names the revision that it replaces, its parent, for each of
// its documents. It is accepted as a whole when every parent is current, and
// loses as a whole otherwise. The first valid record therefore wins on every
// host, and no document ever returns to an earlier revision.
//
// The fold never judges the content of a document, so that hosts of different
// versions cannot disagree on what is accepted. Content is kept byte by byte,
// with fields and kinds that this version does not know.
package configurer
