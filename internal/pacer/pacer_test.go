package pacer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// countingStore counts the calls to it.
type countingStore struct{ readCalls, writeCalls int }

func (s *countingStore) Newest(context.Context, string) (platform.Page, error) {
	s.readCalls++
	return platform.Page{}, nil
}

func (s *countingStore) Read(context.Context, string, int64, time.Duration) (platform.Page, error) {
	s.readCalls++
	return platform.Page{}, nil
}

func (s *countingStore) Append(context.Context, platform.AppendRequest) (int64, error) {
	s.writeCalls++
	return 0, nil
}

// callRepeatedly makes calls without a pause until a duration has passed or a call
// fails, and returns the error of the last call.
func callRepeatedly(ctx context.Context, d time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for {
		if err := call(ctx); err != nil {
			return err
		}
	}
}

// Hosts that call the store without a pause exceed neither their share of its rate
// limits nor the maximum rate of one host. A call that cannot be made before its
// deadline fails with a ThrottledError.
func TestPacer(t *testing.T) {
	const readLimit, writeLimit = 2000, 400
	for _, hosts := range []int{1, 8, 1000} {
		synctest.Test(t, func(t *testing.T) {
			const duration = 10 * time.Second
			s := &countingStore{}
			p := New(s)
			p.UpdateLimits(hosts, readLimit, writeLimit)
			err := callRepeatedly(t.Context(), duration, func(ctx context.Context) error {
				_, err := p.Read(ctx, "topic", 0, 0)
				return err
			})
			var throttled *ThrottledError
			if !errors.As(err, &throttled) {
				t.Errorf("got error %v, want a ThrottledError", err)
			}
			_ = callRepeatedly(t.Context(), duration, func(ctx context.Context) error {
				_, err := p.Append(ctx, platform.AppendRequest{})
				return err
			})
			if got, want := s.readCalls, readBurst+int(min(maxReadsPerSecond, limitShare*readLimit/float64(hosts))*duration.Seconds()); got > want {
				t.Errorf("%d hosts: got %d reads in %s, want at most %d", hosts, got, duration, want)
			}
			if got, want := s.writeCalls, writeBurst+int(min(maxWritesPerSecond, limitShare*writeLimit/float64(hosts))*duration.Seconds()); got > want {
				t.Errorf("%d hosts: got %d writes in %s, want at most %d", hosts, got, duration, want)
			}
			if s.readCalls == 0 || s.writeCalls == 0 {
				t.Errorf("%d hosts: got %d reads and %d writes, want some", hosts, s.readCalls, s.writeCalls)
			}
		})
	}
}
