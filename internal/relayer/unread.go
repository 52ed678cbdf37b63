package relayer

import (
	"context"
	"net/http"
	"time"
)

// lastWriteTimeout is the time for what is written to a client after its request has ended.
const lastWriteTimeout = time.Second

// unreadOwner is the owner of the memory of responses that the caller has not read.
func (x *exchange) unreadOwner() string { return "caller " + x.caller }

// refuseIfUnread refuses a request whose caller has more unread responses than its share of the
// memory, before a server is taken for it. It reports whether it has.
func (x *exchange) refuseIfUnread() bool {
	if x.relayer.buffers.HasShare(x.unreadOwner()) {
		return false
	}
	x.relayer.meter.CountUnreadRefusal()
	x.writeError(http.StatusServiceUnavailable, defaultRetryAfter, "not run: the caller does not read its responses")
	return true
}

// boundWrites ends writes to the client lastWriteTimeout after the end of the request's context.
// They would wait for as long as the client keeps the connection open and does not read. The
// returned function must be called before the context is cancelled at the end of the request.
func (x *exchange) boundWrites() func() {
	controller, done := http.NewResponseController(x.writer), make(chan struct{})
	stop := context.AfterFunc(x.ctx, func() {
		defer close(done)
		// This fails if the writer does not support deadlines.
		_ = controller.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	})
	return func() {
		if !stop() {
			<-done
			_ = controller.Flush()
			_ = controller.SetWriteDeadline(time.Time{})
		}
	}
}
