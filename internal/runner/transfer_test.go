package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// transferTime is the time of a transfer that progresses: a batch of 64 MB needs 26 s
// at 20 Mbit/s.
const transferTime = 26 * time.Second

// transfer takes transferTime, unless its context ends first.
func transfer(ctx context.Context) error {
	select {
	case <-time.After(transferTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// slowPlatform is a log and a host list behind a slow link.
type slowPlatform struct {
	fuchsiapitch.Log
	calls int
}

func (p *slowPlatform) Read(ctx context.Context, _ fuchsiapitch.StreamName, from fuchsiapitch.Offset, _ int) (fuchsiapitch.Batch, error) {
	p.calls++
	return fuchsiapitch.NewBatch(nil, 1, from+1), transfer(ctx)
}

func (p *slowPlatform) Append(ctx context.Context, _ fuchsiapitch.StreamName, _ fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	p.calls++
	return 1, transfer(ctx)
}

func (p *slowPlatform) BackendServers(ctx context.Context) ([]fuchsiapitch.BackendServer, error) {
	p.calls++
	return nil, transfer(ctx)
}

// A transfer that is cancelled begins again at its first byte and never ends. The
// clients bound the silence of a call; the runner bounds no call as a whole.
func TestSlowTransferIsNotCancelled(t *testing.T) {
	cases := map[string]struct {
		start func(context.Context, *Runner)
		want  func(reducer.Event) bool
	}{
		"read of the log": {
			func(ctx context.Context, r *Runner) {
				r.followStream(ctx, reducer.FollowStream{Stream: "config", From: 1})
			},
			func(e reducer.Event) bool { _, ok := e.(reducer.RecordsRead); return ok },
		},
		"append to the log": {
			func(ctx context.Context, r *Runner) { r.execute(ctx, reducer.AppendRecord{Stream: "config"}) },
			func(e reducer.Event) bool {
				a, ok := e.(reducer.AppendEnded)
				return ok && a.Result == reducer.Appended
			},
		},
		"read of the host list": {
			func(ctx context.Context, r *Runner) { r.startHostListPolling(ctx) },
			func(e reducer.Event) bool { _, ok := e.(reducer.ServersListed); return ok },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := &slowPlatform{}
				r := New(nil, Dependencies{Log: platform, HostList: platform})
				ctx, cancel := context.WithTimeout(t.Context(), 10*transferTime)
				defer r.workers.wait()
				defer cancel()
				c.start(ctx, r)
				select {
				case e := <-r.queue:
					if !c.want(e.event) {
						t.Errorf("first event: got %T %+v after %d calls, want the result of the first call", e.event, e.event, platform.calls)
					}
				case <-ctx.Done():
					t.Errorf("got no event after %d calls, want the result of the first call", platform.calls)
				}
			})
		})
	}
}
