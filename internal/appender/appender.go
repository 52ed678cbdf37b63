// Package appender appends records to a topic of the platform's store. A record
// whose response was lost is stored at most once, and never after a later record of
// the same appender.
package appender

import (
	"bytes"
	"context"
	"errors"
	"sync"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// fencedEpochStepMillis is added to an epoch that the store has fenced. Epochs are
// start times of the process in milliseconds: an epoch is fenced if an earlier
// process of the host started under a clock that was ahead, or if the store has gone
// back and expects an earlier sequence number.
const fencedEpochStepMillis = 60_000

// Store provides write access to the topics of the platform's store.
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
	// unresolved is the append whose outcome is unknown, nil for none. The store may
	// have executed it or may execute it later.
	unresolved *platform.AppendRequest
}

// New returns an appender to a topic under the name of a producer. The epoch is the
// start time of the process in milliseconds. It fences appends of earlier processes
// of the producer that the store has not executed yet.
func New(store Store, topic, producer string, epoch int64) *Appender {
	return &Appender{store: store, topic: topic, producer: producer, epoch: epoch}
}

// Append appends a record and returns its offset. If expectedEnd is not negative and
// the topic does not end there, the error is a platform.PreconditionError. After an
// error that leaves the outcome unknown, retrying the same call stores the record at
// most once and returns its offset. Any other call fences the unresolved append, so
// that the store cannot execute it later.
func (a *Appender) Append(ctx context.Context, key string, value []byte, expectedEnd int64) (int64, error) {
	return a.AppendInEra(ctx, key, value, expectedEnd, 0)
}

// AppendInEra is like Append. If the era is not 0 and the store responds in another one, the
// error is a platform.EraChangedError, and the record may be in the store.
func (a *Appender) AppendInEra(ctx context.Context, key string, value []byte, expectedEnd, era int64) (int64, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if unresolved := a.unresolved; unresolved != nil && (unresolved.Key != key || !bytes.Equal(unresolved.Value, value) || unresolved.ExpectedEnd != expectedEnd) {
		a.advanceEpoch(1)
	}
	offset, err := a.tryAppend(ctx, key, value, expectedEnd, era)
	var fenced *platform.FencedError
	if !errors.As(err, &fenced) {
		return offset, err
	}
	a.advanceEpoch(fencedEpochStepMillis)
	return a.tryAppend(ctx, key, value, expectedEnd, era)
}

// advanceEpoch starts a later epoch, which fences the unresolved append.
func (a *Appender) advanceEpoch(step int64) {
	a.epoch, a.sequence, a.unresolved = a.epoch+step, 0, nil
}

// tryAppend sends one append with the current epoch and sequence number, and records
// what its outcome means for the next one.
func (a *Appender) tryAppend(ctx context.Context, key string, value []byte, expectedEnd, era int64) (int64, error) {
	request := platform.AppendRequest{Topic: a.topic, Key: key, Value: value, ExpectedEnd: expectedEnd, Producer: a.producer, Epoch: a.epoch, Sequence: a.sequence, ExpectedEra: era}
	offset, err := a.store.Append(ctx, request)
	var unavailable *fuchsiapitch.UnavailableError
	var precondition *platform.PreconditionError
	var eraChanged *platform.EraChangedError
	switch {
	case err == nil, errors.As(err, &eraChanged):
		a.sequence++
		a.unresolved = nil
	case errors.As(err, &unavailable):
		a.unresolved = &request
	case errors.As(err, &precondition):
		// The topic has grown past the expected end, so the store cannot execute an
		// earlier attempt either.
		a.unresolved = nil
	default:
		// The store did not execute this call, but may still execute an earlier
		// attempt of it.
	}
	return offset, err
}
