// Package fuchsiapitch defines the domain types of the serving system, its error
// types and the interfaces to external systems. The packages under internal and
// platform implement them.
//
// The domain types carry no serialisation tags. Hand-written codecs, such as those
// of package encoder, map them to and from their wire formats.
package fuchsiapitch
