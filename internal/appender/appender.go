// Package appender writes to a topic of the platform's store so that a record
// whose answer was lost is entered once at most, and never after a later one.
package appender

import (
	"bytes"
	"context"
	"errors"
	"sync"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// fencedStep raises an epoch that the store has fenced, in milliseconds: an
// earlier life of the host began it by a clock that was ahead.
const fencedStep = 60_000

// Store is what the appender writes to.
type Store interface {
	Append(ctx context.Context, a platform.AppendRequest) (int64, error)
}

// Appender appends records to one topic. It is safe for concurrent use.
type Appender struct {
	store    Store
	topic    string
	producer string

	mutex sync.Mutex
	// epoch and sequence are those of the next append.
	epoch, sequence int64
	// open is the append without an answer, nil for none: it may have been carried
	// out, or may be later.
	open *platform.AppendRequest
}

// New returns an appender to a topic under the name of a producer. The epoch,
// the start of the process in milliseconds, keeps out what earlier lives of the
// producer have left.
func New(store Store, topic, producer string, epoch int64) *Appender {
	return &Appender{store: store, topic: topic, producer: producer, epoch: epoch}
}

// Append adds a record and returns its offset. If at is not negative, the topic
// must end there; the error is a platform.ConditionError otherwise. After an
// error that leaves it open whether the record was entered, the same call again
// returns the offset that it has got; any other call keeps it from being entered
// later.
func (a *Appender) Append(ctx context.Context, key string, value []byte, at int64) (int64, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if o := a.open; o != nil && (o.Key != key || !bytes.Equal(o.Value, value) || o.ExpectedEnd != at) {
		a.raise(1)
	}
	offset, err := a.try(ctx, key, value, at)
	var fenced *platform.FencedError
	if !errors.As(err, &fenced) {
		return offset, err
	}
	a.raise(fencedStep)
	return a.try(ctx, key, value, at)
}

func (a *Appender) raise(by int64) {
	a.epoch, a.sequence, a.open = a.epoch+by, 0, nil
}

func (a *Appender) try(ctx context.Context, key string, value []byte, at int64) (int64, error) {
	call := platform.AppendRequest{Topic: a.topic, Key: key, Value: value, ExpectedEnd: at, Producer: a.producer, Epoch: a.epoch, Sequence: a.sequence}
	offset, err := a.store.Append(ctx, call)
	var unknown *fuchsiapitch.UnavailableError
	var condition *platform.PreconditionError
	switch {
	case err == nil:
		a.sequence++
		a.open = nil
	case errors.As(err, &unknown):
		a.open = &call
	case errors.As(err, &condition):
		// The topic has moved on, so that an earlier try cannot be entered either.
		a.open = nil
	default:
		// This call was not carried out, but an earlier try of it still may be.
	}
	return offset, err
}
