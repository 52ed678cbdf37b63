// Package sender sends calls to backend servers over HTTP/1.1. It sends each
// call at most once, knows exactly whether any byte of it left this process,
// and hands on only answers that are whole and belong to the call.
//
// Package net/http replays requests by itself: idempotent methods and any
// request with an Idempotency-Key header, when a pooled connection breaks.
// Three guards prevent that. Each call has a connection of its own. The body of every request is of a type that cannot
// be read again, and each call has a gate that lets only the first connection
// write.
package sender
