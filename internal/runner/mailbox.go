package runner

import (
	"context"
	"sync"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// mailboxCapacity is the largest number of effects of one request that its
// handler has not taken yet.
const mailboxCapacity = 64

// Mailbox passes the effects of one request from the runner to the goroutine
// that handles the request. A PreemptAttempt is not queued; it cancels the
// context of the attempt at once.
type Mailbox struct {
	requestID fuchsiapitch.RequestID
	effects   chan reducer.RequestEffect

	mutex sync.Mutex
	// cancelAttempt cancels the context of currentAttempt.
	cancelAttempt context.CancelFunc
	// currentAttempt is the number of the latest attempt, and preemptedAttempt
	// that of the latest PreemptAttempt, both 0 at first.
	currentAttempt   uint64
	preemptedAttempt uint64
}

func newMailbox(requestID fuchsiapitch.RequestID) *Mailbox {
	return &Mailbox{requestID: requestID, effects: make(chan reducer.RequestEffect, mailboxCapacity)}
}

// NextEffect waits for the next effect. It returns the context's error if the
// context ends first.
func (m *Mailbox) NextEffect(ctx context.Context) (reducer.RequestEffect, error) {
	select {
	case nextEffect := <-m.effects:
		return nextEffect, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// AttemptContext returns the context for an attempt. A PreemptAttempt with the
// number of the attempt cancels the context, even if it was delivered before
// this call.
func (m *Mailbox) AttemptContext(ctx context.Context, attemptNumber uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.cancelAttempt, m.currentAttempt = cancel, attemptNumber
	if m.preemptedAttempt == attemptNumber {
		cancel()
	}
	return ctx, cancel
}

// Preempted reports whether the latest attempt was preempted.
func (m *Mailbox) Preempted() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.preemptedAttempt == m.currentAttempt
}

// deliver adds an effect. It returns false if the mailbox is full.
func (m *Mailbox) deliver(effect reducer.RequestEffect) bool {
	if p, ok := effect.(reducer.PreemptAttempt); ok {
		m.preempt(p.Attempt)
		return true
	}
	select {
	case m.effects <- effect:
		return true
	default:
		return false
	}
}

// preempt records the number of a preempted attempt and cancels the attempt if
// it is running.
func (m *Mailbox) preempt(attempt uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.preemptedAttempt = attempt
	if m.cancelAttempt != nil && m.currentAttempt == attempt {
		m.cancelAttempt()
	}
}
