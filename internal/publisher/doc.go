// Package publisher publishes configuration documents through the platform's
// log and reports whether they came into force.
//
// A publication is one record. An append that may have taken effect is retried
// only after the stream was read back without finding the record. Each retry uses
// the same identifier, so that readers apply the record once even if it was
// appended several times. The outcome is determined only by applying the records
// of the stream.
package publisher
