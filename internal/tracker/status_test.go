package tracker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a host that takes a poll which it cancelled itself, to repeat it on a new connection,
// for a failure of the store: it then follows other hosts without patience, and its log says that reads
// fail, until the repeated poll ends.
func TestReconnectIsNoFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tr := New(delayedStore{}, "t", func(Update) {}, WithLongPoll(15*time.Second))
		served := make(chan error, 1)
		go func() { served <- tr.Serve(ctx) }()
		time.Sleep(time.Second)
		tr.Reconnect(time.Now())
		time.Sleep(time.Second)
		if got := tr.Status().FailedReads; got != 0 {
			t.Errorf("got %d failed reads after a poll was repeated, want 0", got)
		}
		cancel()
		<-served
	})
}
