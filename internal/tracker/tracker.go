// Package tracker follows a topic of the platform's store. It reads a snapshot with
// the newest record of each key and then the records appended after it. If the store
// no longer retains the next offset, or has gone back, it reads a new snapshot.
package tracker

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/rewinder"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// responseTimeout bounds the time until the first byte of a response, on top of the
	// requested long-poll wait, and then the time without progress. The store responds
	// within a few milliseconds, or within half a second if it is slow.
	responseTimeout = 1500 * time.Millisecond
	// resyncTimeout is how long a read may still be silent after a resync was requested.
	// It is longer than the store needs to serve a large record to many hosts, and short
	// enough to replace a connection that no longer delivers data within the time in
	// which a new configuration must be in force.
	resyncTimeout = 800 * time.Millisecond
	// pollSilenceTimeout is how long after its wait a long poll may be silent. It is longer than a
	// slow store needs for a response without records.
	pollSilenceTimeout = 500 * time.Millisecond
	// minBackOff and maxBackOff bound the back-off after a failed read, which
	// doubles with each failure. The actual pause is randomised.
	minBackOff = 200 * time.Millisecond
	maxBackOff = time.Second
	// needInterval is how often a tracker asks whether a topic that is not needed has to
	// be read again.
	needInterval = 250 * time.Millisecond
	// startNeedInterval is the same for startDuration after the start of a host, which learns within
	// milliseconds what it has to read.
	startNeedInterval = 25 * time.Millisecond
	startDuration     = 500 * time.Millisecond
)

// Store provides read access to the topics of the platform's store.
type Store interface {
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

// Update is the result of a successful read. It is a plain record.
type Update struct {
	// Records are the records read, in the order of their offsets unless they are a
	// snapshot.
	Records []platform.Record
	// IsSnapshot is true if Records is the complete state of the topic: keys that it
	// does not contain have been deleted.
	IsSnapshot bool
	// NextOffset is the offset after the last record of the topic.
	NextOffset int64
	// Era is the era of the store, 0 if it states none.
	Era int64
}

// Position returns a number for NextOffset that is comparable over all eras.
func (u Update) Position() int64 { return rewinder.Position(u.Era, u.NextOffset) }

// ReadResult describes a call of the store that has ended. It is a plain record.
type ReadResult struct {
	// Bytes is the number of bytes of the response that were received.
	Bytes int64
	// Elapsed is the time from the start of the call to the end of the read.
	Elapsed time.Duration
	// Restarted is true if the call was given up because of a reconnection, or because the store
	// answered the other call of the same read first.
	Restarted bool
	// Err is the error of the call, nil if it succeeded.
	Err error
}

// Tracker follows one topic.
type Tracker struct {
	store    Store
	topic    string
	pollWait func() time.Duration
	interval time.Duration
	isNeeded func() bool
	handle   func(Update)
	onError  func(error)
	onRead   func(ReadResult)
	// beforeSecondCall and onSilentConnection are described at their options.
	beforeSecondCall   func()
	onSilentConnection func(before time.Time)
	// retainer is nil if nothing is retained when the store goes back.
	retainer  *rewinder.Retainer
	startedAt time.Time

	// mutex guards the fields below.
	mutex sync.Mutex
	// reading is the read in progress, nil between two reads.
	reading *reading
	// answeredAt is when the store last answered a read, the start of the tracker if it has not.
	// failedReads counts the reads that have failed since, but for those that were repeated.
	answeredAt  time.Time
	failedReads int
}

// Option sets one optional property of a tracker.
type Option func(*Tracker)

// WithLongPoll sets how long the store waits for new records before it returns an
// empty response. The default is not to wait.
func WithLongPoll(wait time.Duration) Option {
	return WithVariableLongPoll(func() time.Duration { return wait })
}

// WithVariableLongPoll is like WithLongPoll, with a wait that may change.
func WithVariableLongPoll(wait func() time.Duration) Option {
	return func(t *Tracker) { t.pollWait = wait }
}

// WithNeed sets a function that reports whether the topic has to be read. No read starts
// while it returns false.
func WithNeed(isNeeded func() bool) Option { return func(t *Tracker) { t.isNeeded = isNeeded } }

// WithInterval sets the pause between a successful read and the next one.
func WithInterval(interval time.Duration) Option { return func(t *Tracker) { t.interval = interval } }

// WithErrorHandler sets a function that is called with the error of each failed
// read.
func WithErrorHandler(onError func(error)) Option { return func(t *Tracker) { t.onError = onError } }

// WithReadHandler sets a function that is called with the result of each call at the end of a
// read, before its update is handled.
func WithReadHandler(onRead func(ReadResult)) Option { return func(t *Tracker) { t.onRead = onRead } }

// WithSecondCallHandler sets a function that is called before the store is called a second time for a
// read that is silent. The second call should use a new connection.
func WithSecondCallHandler(beforeSecondCall func()) Option {
	return func(t *Tracker) { t.beforeSecondCall = beforeSecondCall }
}

// WithSilentConnectionHandler sets a function that is called when the store has answered the second call
// of a read and not the first one. Connections that were in use before the given time may be silent
// as well.
func WithSilentConnectionHandler(onSilentConnection func(before time.Time)) Option {
	return func(t *Tracker) { t.onSilentConnection = onSilentConnection }
}

// WithRetention makes the tracker retain records of a topic that others write when the store has
// gone back, until they have had time to write them again.
func WithRetention() Option { return func(t *Tracker) { t.retainer = new(rewinder.Retainer) } }

// New returns a tracker that calls handle with each update.
func New(store Store, topic string, handle func(Update), options ...Option) *Tracker {
	t := &Tracker{
		store: store, topic: topic, handle: handle, onError: func(error) {}, onRead: func(ReadResult) {},
		beforeSecondCall: func() {}, onSilentConnection: func(time.Time) {},
		isNeeded: func() bool { return true }, pollWait: func() time.Duration { return 0 }, startedAt: time.Now(), answeredAt: time.Now(),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Status is what a tracker knows of the store. It is a plain record.
type Status struct {
	// SinceAnswer is the time since the store last answered a read. A long poll in flight may
	// add its wait.
	SinceAnswer time.Duration
	// FailedReads is the number of reads that have failed since then. Those that were repeated by
	// Reconnect do not count.
	FailedReads int
	// IsReceiving is true if a part of the response to the read in progress has arrived.
	IsReceiving bool
}

// Status returns what the tracker knows of the store.
func (t *Tracker) Status() Status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return Status{
		SinceAnswer: time.Since(t.answeredAt), FailedReads: t.failedReads,
		IsReceiving: t.reading != nil && t.reading.isReceiving(),
	}
}

// Topic returns the name of the topic.
func (t *Tracker) Topic() string { return t.topic }

// Resync requests a new snapshot, because the read in progress may never return. If that stays silent,
// a snapshot is read beside it. A read whose response is arriving is completed, since a new one would
// have to transfer the same records again. Between two reads there is nothing to repeat, and the next
// read misses no record.
func (t *Tracker) Resync() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.reading != nil {
		t.reading.resync()
	}
}

// Reconnect repeats a silent long poll that started before a time, because connections that were
// open then deliver nothing any more while new ones do. The repeated poll goes on at the same
// offset, so that it transfers no record again. A snapshot that is being read is treated as by Resync.
func (t *Tracker) Reconnect(before time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.reading == nil:
	case t.reading.isLongPoll:
		t.reading.reconnect(before)
	default:
		t.reading.resync()
	}
}

// cursor is what a tracker knows of the position at which it reads on.
type cursor struct {
	nextOffset int64
	// era is the era of nextOffset, 0 if the store states none.
	era int64
	// synced is true if the next read goes on at nextOffset, false if it takes a snapshot.
	synced bool
}

// Serve follows the topic until the context ends. It implements suture.Service.
func (t *Tracker) Serve(ctx context.Context) error {
	var c cursor
	backOff := minBackOff
	startedAt := time.Now()
	for ctx.Err() == nil {
		if !t.isNeeded() {
			pause := needInterval
			if time.Since(startedAt) < startDuration {
				pause = startNeedInterval
			}
			sleep(ctx, pause)
			continue
		}
		o := t.read(ctx, c)
		var expired *platform.OffsetExpiredError
		switch {
		case o.err != nil && o.reconnected:
			continue
		case errors.As(o.err, &expired):
			c.synced = false
			continue
		case o.err != nil:
			t.onError(o.err)
			sleep(ctx, backOff/2+rand.N(backOff))
			backOff = min(2*backOff, maxBackOff)
			continue
		case !o.isSnapshot && o.page.Era != c.era:
			// The offset has been given out again, so that records before it may be new.
			c.synced = false
			continue
		}
		backOff = minBackOff
		c.synced = !o.isSnapshot
		t.deliver(o.page, c)
		// A host that has not read for a while is several pages behind.
		isBehind := c.synced && c.nextOffset < o.page.NextOffset && o.page.NextOffset < o.page.End
		c = cursor{nextOffset: o.page.NextOffset, era: o.page.Era, synced: true}
		if !isBehind {
			sleep(ctx, t.interval)
		}
	}
	return ctx.Err()
}

// deliver hands a page that was read from a cursor to the handler.
func (t *Tracker) deliver(page platform.Page, from cursor) {
	u := Update{Records: page.Records, IsSnapshot: !from.synced, NextOffset: page.NextOffset, Era: page.Era}
	if t.retainer == nil || page.Era == 0 {
		t.handle(u)
		return
	}
	now := time.Since(t.startedAt)
	if u.IsSnapshot {
		u.Records = t.retainer.Snapshot(now, u.Records, from.era != 0 && from.era != page.Era)
	} else {
		t.retainer.Append(now, u.Records)
	}
	t.handle(u)
	if released := t.retainer.Release(now); released != nil {
		t.handle(Update{Records: released, NextOffset: page.NextOffset, Era: page.Era})
	}
}

// nextPollWait returns how long the next read waits for new records. After a failed read it does not
// wait, so that it tells at once whether the store can be read and what it has.
func (t *Tracker) nextPollWait() time.Duration {
	if t.Status().FailedReads > 0 {
		return 0
	}
	if t.retainer != nil && t.retainer.IsRetaining() {
		return min(t.pollWait(), rewinder.Grace)
	}
	return t.pollWait()
}

// sleep waits until a duration has passed or the context ends.
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
