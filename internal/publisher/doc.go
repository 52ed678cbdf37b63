// Package publisher publishes configuration documents through the platform's
// log and reports whether they came into force.
//
// A publication is one record. An append that may have taken effect is repeated
// only after the stream was read back without finding the record. Appends use the
// same identifier each time, so that readers apply the record once however often
// it was appended. The outcome is derived only from the folded stream.
package publisher
