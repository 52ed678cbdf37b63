// Package publisher puts configuration documents into force through the
// platform's log, and tells truthfully what became of them.
//
// A publication is one record. Its append is repeated only after the stream was
// read back without finding it, always under the same identifier, so that it is
// folded once however often it was appended. What became of it is only ever
// concluded from the fold of the stream.
package publisher
