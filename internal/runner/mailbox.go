package runner

import (
	"context"
	"sync"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// mailboxSize is the number of directives that one request can have waiting.
const mailboxSize = 64

// Mailbox passes the directives of one request to its holder.
type Mailbox struct {
	request    fuchsiapitch.RequestID
	directives chan reducer.RequestEffect

	mutex     sync.Mutex
	interrupt context.CancelFunc
	attempt   uint64
	preempted uint64
}

func newMailbox(request fuchsiapitch.RequestID) *Mailbox {
	return &Mailbox{request: request, directives: make(chan reducer.RequestEffect, mailboxSize)}
}

// Next waits for the next directive. It returns the context's error when the
// context ends first.
func (m *Mailbox) Next(ctx context.Context) (reducer.RequestEffect, error) {
	select {
	case d := <-m.directives:
		return d, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Attempt returns a context for the attempt with a number. A PreemptAttempt of
// that number ends it, also when it arrives first.
func (m *Mailbox) Attempt(ctx context.Context, number uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.interrupt, m.attempt = cancel, number
	if m.preempted == number {
		cancel()
	}
	return ctx, cancel
}

// Stopped reports whether the last attempt was preempted.
func (m *Mailbox) Stopped() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.preempted == m.attempt
}

// deliver adds a directive. It returns false when the mailbox is full.
func (m *Mailbox) deliver(directive reducer.RequestEffect) bool {
	if p, ok := directive.(reducer.PreemptAttempt); ok {
		m.stop(p.Attempt)
		return true
	}
	select {
	case m.directives <- directive:
		return true
	default:
		return false
	}
}

func (m *Mailbox) stop(attempt uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.preempted = attempt
	if m.interrupt != nil && m.attempt == attempt {
		m.interrupt()
	}
}
