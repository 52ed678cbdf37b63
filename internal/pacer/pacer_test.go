package pacer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// countingStore counts calls.
type countingStore struct{ reads, writes int }

func (s *countingStore) Newest(context.Context, string) (platform.Page, error) {
	s.reads++
	return platform.Page{}, nil
}

func (s *countingStore) Read(context.Context, string, int64, time.Duration) (platform.Page, error) {
	s.reads++
	return platform.Page{}, nil
}

func (s *countingStore) Append(context.Context, platform.AppendRequest) (int64, error) {
	s.writes++
	return 0, nil
}

// hammer calls without a pause for a time.
func hammer(ctx context.Context, d time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for {
		if err := call(ctx); err != nil {
			return err
		}
	}
}

func TestPacer(t *testing.T) {
	const readLimit, writeLimit = 2000, 400
	for _, hosts := range []int{1, 8, 1000} {
		synctest.Test(t, func(t *testing.T) {
			const span = 10 * time.Second
			s := &countingStore{}
			p := New(s)
			p.Share(hosts, readLimit, writeLimit)
			err := hammer(t.Context(), span, func(ctx context.Context) error {
				_, err := p.Read(ctx, "topic", 0, 0)
				return err
			})
			var paced *PacedError
			if !errors.As(err, &paced) {
				t.Errorf("got error %v, want a PacedError", err)
			}
			_ = hammer(t.Context(), span, func(ctx context.Context) error {
				_, err := p.Append(ctx, platform.AppendRequest{})
				return err
			})
			if got, want := s.reads, readBurst+int(min(mostReads, share*readLimit/float64(hosts))*span.Seconds()); got > want {
				t.Errorf("%d hosts: got %d reads in %s, want at most %d", hosts, got, span, want)
			}
			if got, want := s.writes, writeBurst+int(min(mostWrites, share*writeLimit/float64(hosts))*span.Seconds()); got > want {
				t.Errorf("%d hosts: got %d writes in %s, want at most %d", hosts, got, span, want)
			}
			if s.reads == 0 || s.writes == 0 {
				t.Errorf("%d hosts: got %d reads and %d writes, want some", hosts, s.reads, s.writes)
			}
		})
	}
}
