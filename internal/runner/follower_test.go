package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// silentRead is how long a call lasts whose connection delivers nothing any more.
const silentRead = 3 * time.Second

// silentPlatform is a log and a host list whose first call fails after silentRead.
type silentPlatform struct {
	fuchsiapitch.Log
	calls int
}

func (p *silentPlatform) call() error {
	if p.calls++; p.calls > 1 {
		return nil
	}
	time.Sleep(silentRead)
	return &fuchsiapitch.UnavailableError{System: "platform", Action: "read", Err: context.DeadlineExceeded}
}

func (p *silentPlatform) Read(context.Context, fuchsiapitch.StreamName, fuchsiapitch.Offset, int) (fuchsiapitch.Batch, error) {
	return fuchsiapitch.NewBatch(nil, 1, 1), p.call()
}

func (p *silentPlatform) BackendServers(context.Context) ([]fuchsiapitch.BackendServer, error) {
	return nil, p.call()
}

// Guards against news that wait for a pause after a call that has taken longer than the pause, and so
// cannot have been part of a burst of calls.
func TestSilentCallIsRepeatedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		start func(context.Context, *Runner)
		want  func(reducer.Event) bool
	}{
		"read of the log": {
			func(ctx context.Context, r *Runner) {
				r.followStream(ctx, reducer.FollowStream{Stream: "config", From: 1})
			},
			func(e reducer.Event) bool { _, ok := e.(reducer.RecordsRead); return ok },
		},
		"read of the host list": {
			func(ctx context.Context, r *Runner) { r.startHostListPolling(ctx) },
			func(e reducer.Event) bool { _, ok := e.(reducer.ServersListed); return ok },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := &silentPlatform{}
				r := New(nil, Dependencies{Log: platform, HostList: platform})
				ctx, cancel := context.WithCancel(t.Context())
				defer r.workers.wait()
				defer cancel()
				start := time.Now()
				c.start(ctx, r)
				for e := range r.queue {
					if c.want(e.event) {
						break
					}
				}
				if got, want := time.Since(start), silentRead; got != want {
					t.Errorf("time until the second call: got %v, want %v", got, want)
				}
			})
		})
	}
}
