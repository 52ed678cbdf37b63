// Package tracker keeps up with a topic of the platform's store: it reads the
// newest record of each key and then what is added, and starts anew where the
// store has forgotten.
package tracker

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// answerLimit is the time for an answer beyond the wait that was asked for:
	// the store answers within some milliseconds, a slow one within half a second.
	answerLimit = 1500 * time.Millisecond
	// firstBackOff and lastBackOff bound the pause after a failed read.
	firstBackOff = 200 * time.Millisecond
	lastBackOff  = time.Second
)

// Store is what the tracker reads from.
type Store interface {
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

// Update is what a read has brought. It is a plain record.
type Update struct {
	// Items are the records, in the order of their offsets.
	Items []platform.Item
	// Whole states that the records are all there are: keys that are missing are
	// gone.
	Whole bool
}

// Tracker follows one topic.
type Tracker struct {
	store  Store
	topic  string
	wait   time.Duration
	pause  time.Duration
	take   func(Update)
	failed func(error)

	mutex  sync.Mutex
	cancel context.CancelFunc
	kicked bool
}

// Option sets one optional property of a tracker.
type Option func(*Tracker)

// WithWait has each read wait for news for a time.
func WithWait(wait time.Duration) Option { return func(t *Tracker) { t.wait = wait } }

// WithPause sets the least time between two reads.
func WithPause(pause time.Duration) Option { return func(t *Tracker) { t.pause = pause } }

// WithFailures has failed reads reported.
func WithFailures(failed func(error)) Option { return func(t *Tracker) { t.failed = failed } }

// New returns a tracker that hands what it reads to a function.
func New(store Store, topic string, take func(Update), options ...Option) *Tracker {
	t := &Tracker{store: store, topic: topic, take: take, failed: func(error) {}}
	for _, o := range options {
		o(t)
	}
	return t
}

// Kick ends a read that is under way and has the topic read anew: there is reason
// to think that the read has missed something.
func (t *Tracker) Kick() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.kicked = true
	if t.cancel != nil {
		t.cancel()
	}
}

// takeKick reports whether the tracker was kicked since the last call.
func (t *Tracker) takeKick() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kicked := t.kicked
	t.kicked = false
	return kicked
}

// Serve follows the topic until the context ends. It implements suture.Service.
func (t *Tracker) Serve(ctx context.Context) error {
	next, whole := int64(0), false
	backOff := firstBackOff
	for ctx.Err() == nil {
		whole = !t.takeKick() && whole
		page, err := t.read(ctx, next, whole)
		var forgotten *platform.OffsetExpiredError
		switch {
		case errors.As(err, &forgotten):
			whole = false
			continue
		case err != nil && t.isKicked():
			continue
		case err != nil:
			t.failed(err)
			sleep(ctx, backOff/2+rand.N(backOff))
			backOff = min(2*backOff, lastBackOff)
			continue
		}
		backOff = firstBackOff
		t.take(Update{Items: page.Items, Whole: !whole})
		next, whole = page.Next, true
		sleep(ctx, t.pause)
	}
	return ctx.Err()
}

func (t *Tracker) isKicked() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.kicked
}

func (t *Tracker) read(ctx context.Context, next int64, whole bool) (platform.Page, error) {
	limit := answerLimit
	if whole {
		limit += t.wait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t.mutex.Lock()
	t.cancel = cancel
	t.mutex.Unlock()
	if !whole {
		return t.store.Newest(ctx, t.topic)
	}
	return t.store.Read(ctx, t.topic, next, t.wait)
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
