package tracker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// script is a store that answers as told, one entry a call.
type script struct {
	reads   []func(ctx context.Context) (platform.Page, error)
	newest  int
	current int
}

func (s *script) Newest(context.Context, string) (platform.Page, error) {
	s.newest++
	return platform.Page{Items: []platform.Item{{Key: "k", Value: []byte("v")}}, Next: int64(10 * s.newest)}, nil
}

func (s *script) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Page, error) {
	if s.current >= len(s.reads) {
		<-ctx.Done()
		return platform.Page{}, ctx.Err()
	}
	s.current++
	return s.reads[s.current-1](ctx)
}

func hang(ctx context.Context) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

// follow runs a tracker for a time and returns the number of whole states.
func follow(t *testing.T, s *script, d time.Duration, meanwhile func(*Tracker)) (wholes, failures int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		tr := New(s, "t", func(u Update) {
			if u.Whole {
				wholes++
			}
		}, WithWait(15*time.Second), WithFailures(func(error) { failures++ }))
		ended := make(chan error, 1)
		go func() { ended <- tr.Serve(ctx) }()
		meanwhile(tr)
		<-ended
	})
	return wholes, failures
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	s := &script{reads: []func(context.Context) (platform.Page, error){
		func(context.Context) (platform.Page, error) { return platform.Page{}, &platform.OffsetExpiredError{} },
	}}
	if got, _ := follow(t, s, time.Second, func(*Tracker) {}); got != 2 {
		t.Errorf("got %d whole states, want 2", got)
	}
}

func TestSilentReadEnds(t *testing.T) {
	s := &script{reads: []func(context.Context) (platform.Page, error){hang, hang}}
	if _, got := follow(t, s, 20*time.Second, func(*Tracker) {}); got == 0 {
		t.Error("got a read that never ends, want a failure")
	}
}

func TestKickEndsARead(t *testing.T) {
	s := &script{reads: []func(context.Context) (platform.Page, error){hang, hang}}
	got, failures := follow(t, s, 2*time.Second, func(tr *Tracker) {
		time.Sleep(time.Second)
		tr.Kick()
	})
	if got != 2 || failures > 1 {
		t.Errorf("got %d whole states and %d failures, want 2 and at most the last", got, failures)
	}
}
