// Package fuchsiapitch holds the contracts of the serving system: the domain
// types, the typed errors and the interfaces to every outside system.
// Implementations live in packages below this one.
//
// The domain types carry no serialization tags. Codecs in package encoder map
// them to and from their wire forms by hand.
package fuchsiapitch
