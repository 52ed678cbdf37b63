package allocator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const testPool = 1 << 20

// newFaultyOwner returns an allocator at which many responses of one owner grow for as long as they
// may, until the context ends. It returns how many bytes they hold.
func newFaultyOwner(ctx context.Context, t *testing.T) (*Allocator, func() int) {
	t.Helper()
	a := New(WithPool(testPool))
	var responses []*Response
	ended := make(chan error, 100)
	for range cap(ended) {
		r, free := a.Open("faulty")
		responses = append(responses, r)
		go func() {
			var err error
			for err == nil && r.bytes < 2*testPool {
				err = r.Grow(ctx, FreeBytes)
			}
			<-ctx.Done()
			free()
			ended <- ctx.Err()
		}()
	}
	t.Cleanup(func() {
		for range cap(ended) {
			if err := <-ended; !errors.Is(err, context.Canceled) {
				t.Errorf("got error %v, want the end of the context", err)
			}
		}
		if got := a.UsedBytes(); got != 0 {
			t.Errorf("got %d bytes in use after all responses, want none", got)
		}
	})
	synctest.Wait()
	return a, func() int {
		total := 0
		for _, r := range responses {
			total += r.bytes
		}
		return total
	}
}

// Guards against memory that grows with the number of responses that never end.
func TestManyEndlessResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a, total := newFaultyOwner(ctx, t)
		if got, want := a.UsedBytes(), testPool/2; got > want {
			t.Errorf("got %d bytes of the pool in use by one owner, want %d at most", got, want)
		}
		if got, want := total(), testPool/2+2*testPool+FreeBytes+100*FreeBytes; got > want {
			t.Errorf("got %d bytes in all, want %d at most", got, want)
		}
		cancel()
	})
}

// Guards against a service whose responses wait because those of another one never end.
func TestOwnersDoNotStarveEachOther(t *testing.T) {
	for _, size := range []int{FreeBytes, 10 * FreeBytes, 2 * testPool} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				a, _ := newFaultyOwner(ctx, t)
				r, free := a.Open("sound")
				defer free()
				short, cancelShort := context.WithTimeout(ctx, time.Second)
				defer cancelShort()
				for r.bytes < size {
					if err := r.Grow(short, FreeBytes); err != nil {
						t.Fatalf("got error %v at %d bytes, want none", err, r.bytes)
					}
				}
				cancel()
			})
		})
	}
}

// Guards against owners that take the reserve in turns with themselves.
func TestReserveGoesToOwnerThatHasWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(WithPool(0))
		order := make(chan string, 10)
		release := make(chan struct{})
		grow := func(name string) {
			r, free := a.Open(name)
			go func() {
				defer free()
				if err := r.Grow(t.Context(), FreeBytes+1); err != nil {
					t.Errorf("got error %v, want none", err)
				}
				order <- name
				<-release
			}()
			synctest.Wait()
		}
		for _, name := range []string{"a", "b", "a", "a", "c"} {
			grow(name)
		}
		for _, want := range []string{"a", "b", "c"} {
			if want == "c" {
				release <- struct{}{}
				synctest.Wait()
			}
			if got := <-order; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
		close(release)
		synctest.Wait()
		if got, want := len(order), 2; got != want {
			t.Errorf("got %d further responses, want %d", got, want)
		}
	})
}

// Guards against a response of one owner that cannot become complete, because all of them wait for
// each other.
func TestLargeResponsesOfOneOwnerEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(WithPool(testPool))
		const responses = 20
		ended := make(chan error, responses)
		for range responses {
			r, free := a.Open("owner")
			go func() {
				defer free()
				for r.bytes < testPool {
					if err := r.Grow(t.Context(), FreeBytes); err != nil {
						ended <- err
						return
					}
					time.Sleep(time.Millisecond)
				}
				ended <- nil
			}()
		}
		for range responses {
			if err := <-ended; err != nil {
				t.Errorf("got error %v, want none", err)
			}
		}
	})
}

// Guards against responses that count for the service they came from, after they have been read, and
// keep its share from others.
func TestTransfer(t *testing.T) {
	a := New(WithPool(testPool))
	response, free := a.Open("service")
	if err := response.Grow(t.Context(), testPool/2); err != nil {
		t.Fatal(err)
	}
	response.Transfer("caller")
	other, freeOther := a.Open("service")
	if !other.TryGrow(testPool/4) || other.hasPlace {
		t.Error("got no memory for the service, want some since its response was passed on")
	}
	if a.HasShare("caller") {
		t.Error("got a share for the caller, want none")
	}
	freeOther()
	free()
	if got := a.UsedBytes(); got != 0 || len(a.owners) != 0 {
		t.Errorf("got %d bytes and %d owners after all responses, want none", got, len(a.owners))
	}
	if !a.HasShare("caller") {
		t.Error("got no share for a caller without responses")
	}
}
