package tracker

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/watcher"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// reading is a read in progress. It consists of a call of the store and, if that stays silent, of a
// second one beside it: the connection of the first may deliver nothing any more, or its response may
// wait for its turn, which would be lost if the call was given up. The first call that the store
// answers decides. The mutex of the tracker guards the fields.
type reading struct {
	first  *call
	second *call
	// isLongPoll is true if the read waits for records, false if it reads a snapshot.
	isLongPoll bool
	// silence fires at silentAt, when the second call is due. The timer is stopped if silentAt is the
	// zero time.
	silence  *time.Timer
	silentAt time.Time
	// resyncRequested is true if the second call has to read a snapshot.
	resyncRequested bool
	// reconnected is true if the first call was cancelled to be repeated.
	reconnected bool
}

// call is one call of the store.
type call struct {
	watcher    *watcher.Watcher
	startedAt  time.Time
	isSnapshot bool
}

// outcome is the result of a call or of a read.
type outcome struct {
	call        *call
	page        platform.Page
	isSnapshot  bool
	reconnected bool
	err         error
}

// isAnswer reports whether the store has answered, so that no other call can tell more.
func (o outcome) isAnswer() bool {
	var expired *platform.OffsetExpiredError
	return o.err == nil || errors.As(o.err, &expired)
}

// isReceiving reports whether a part of a response has arrived.
func (r *reading) isReceiving() bool {
	return r.first.watcher.ReceivedBytes() > 0 || r.second != nil && r.second.watcher.ReceivedBytes() > 0
}

// resync makes the second call due after resyncTimeout, and read a snapshot.
func (r *reading) resync() {
	if r.second != nil || r.isReceiving() || r.resyncRequested {
		return
	}
	r.resyncRequested = true
	r.expectWithin(resyncTimeout)
}

// reconnect cancels a silent first call that started before a time.
func (r *reading) reconnect(before time.Time) {
	if r.first.watcher.ReceivedBytes() == 0 && r.first.startedAt.Before(before) {
		r.reconnected = true
		r.first.watcher.ExpectWithin(0)
	}
}

// expectWithin makes the second call due after a timeout, unless it is due earlier.
func (r *reading) expectWithin(timeout time.Duration) {
	if due := time.Now().Add(timeout); r.silentAt.IsZero() || due.Before(r.silentAt) {
		r.silentAt = due
		r.silence.Reset(timeout)
	}
}

// read reads the records after a cursor, or a snapshot if the cursor is not synced. It reports its
// calls to the read handler, the first one first.
func (t *Tracker) read(ctx context.Context, c cursor) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 2)
	pollWait := t.nextPollWait()
	r := t.startReading(ctx, c, pollWait, outcomes)
	defer r.silence.Stop()
	var ended []outcome
	for pending := 1; pending > 0; {
		select {
		case <-r.silence.C:
			if t.isSecondCallDue(r) {
				t.beforeSecondCall()
				t.startSecondCall(ctx, r, c, outcomes)
				pending++
			}
			continue
		case o := <-outcomes:
			ended = append(ended, o)
			pending--
			if o.isAnswer() {
				cancel()
			}
		}
	}
	result := t.endReading(r, ended)
	slices.SortFunc(ended, func(a, b outcome) int { return a.call.startedAt.Compare(b.call.startedAt) })
	for _, o := range ended {
		isGivenUp := o.err != nil && (result.reconnected || result.call != o.call && result.isAnswer())
		t.onRead(ReadResult{Bytes: o.call.watcher.ReceivedBytes(), Elapsed: time.Since(o.call.startedAt), Restarted: isGivenUp, Err: o.err})
	}
	if r.second != nil && result.call == r.second && result.isAnswer() && r.first.watcher.ReceivedBytes() == 0 {
		t.onSilentConnection(r.second.startedAt)
	}
	return result
}

// startReading starts the first call of a read.
func (t *Tracker) startReading(ctx context.Context, c cursor, pollWait time.Duration, outcomes chan<- outcome) *reading {
	r := &reading{isLongPoll: c.synced && pollWait > 0, silence: time.NewTimer(time.Hour)}
	r.silence.Stop()
	if !c.synced {
		pollWait = 0
	}
	if r.isLongPoll {
		r.expectWithin(pollWait + pollSilenceTimeout)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reading = r
	r.first = t.startCall(ctx, c, pollWait, outcomes)
	return r
}

// isSecondCallDue reports whether the first call of a read is silent and the only one.
func (t *Tracker) isSecondCallDue(r *reading) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return r.second == nil && !r.reconnected && !r.isReceiving()
}

// startSecondCall starts the second call of a read.
func (t *Tracker) startSecondCall(ctx context.Context, r *reading, c cursor, outcomes chan<- outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c.synced = c.synced && !r.resyncRequested
	r.second = t.startCall(ctx, c, 0, outcomes)
}

// startCall starts a call that reads the records after a cursor, or a snapshot if the cursor is not
// synced. It is cancelled when the store is silent for too long.
func (t *Tracker) startCall(ctx context.Context, c cursor, pollWait time.Duration, outcomes chan<- outcome) *call {
	ctx, w, stop := watcher.New(ctx, "topic "+t.topic, pollWait+responseTimeout, responseTimeout)
	started := &call{watcher: w, startedAt: time.Now(), isSnapshot: !c.synced}
	go func() {
		defer stop()
		o := outcome{call: started, isSnapshot: started.isSnapshot}
		ctx := platform.WithResponseObserver(ctx, w.RecordBytes)
		if started.isSnapshot {
			o.page, o.err = t.store.Newest(ctx, t.topic)
		} else {
			o.page, o.err = t.store.Read(ctx, t.topic, c.nextOffset, pollWait)
		}
		outcomes <- o
	}()
	return started
}

// endReading returns the result of a read, whose calls are in the order of their ends: that of the
// first call that the store answered, or else of the one that ended first.
func (t *Tracker) endReading(r *reading, ended []outcome) outcome {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reading = nil
	result := ended[0]
	for _, o := range ended {
		if o.isAnswer() {
			result = o
			break
		}
	}
	result.reconnected = r.reconnected
	switch {
	case result.isAnswer():
		t.answeredAt, t.failedReads = time.Now(), 0
	case !result.reconnected:
		t.failedReads++
	}
	return result
}
