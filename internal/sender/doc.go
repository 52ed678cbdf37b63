// Package sender sends calls to backend servers over HTTP/1.1. It sends each call at
// most once, records whether any byte of it was written to a socket, and accepts a
// response only if it is complete and carries the request identifier of the call.
//
// When a pooled connection breaks, net/http replays requests with an idempotent
// method or an Idempotency-Key header. Three measures prevent that: each call has its
// own connection, the type of the request body cannot be read again, and the write
// guard of a call admits writes on the first connection only.
package sender
