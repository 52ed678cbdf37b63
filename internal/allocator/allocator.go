// Package allocator bounds the memory of the responses that a host buffers. Each response may hold
// some bytes in any case; what it needs beyond them comes from a common pool, for which it may
// have to wait.
//
// No owner, the service whose response it is, can use up the pool: it gets no more than it leaves
// free ("dynamic threshold", Choudhury and Hahne 1998). An owner with a full share still makes progress:
// one of its responses at a time may grow beyond it, from a reserve of its own. Places in the
// reserve go to the owner that has waited longest for one.
package allocator

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

const (
	// FreeBytes is the number of bytes that a response may hold in any case.
	FreeBytes = 16 << 10
	// defaultPoolBytes is the size of the pool if none is set.
	defaultPoolBytes = 32 << 20
	// reservePlaces is the number of responses that may grow beyond the shares of their owners.
	reservePlaces = 2
)

// Allocator shares the pool among responses. It is safe for concurrent use.
type Allocator struct {
	mutex     sync.Mutex
	poolBytes int
	// used is the number of bytes that are taken from the pool.
	used   int
	owners map[string]*owner
	// waiters are the responses that wait for bytes, in order.
	waiters []*waiter
	// reserved is the number of places in the reserve that are taken, and lastPlace the number
	// of places given out so far.
	reserved  int
	lastPlace uint64
}

// owner is a service with responses. lastPlace is the number of its last place in the reserve.
type owner struct {
	used, responses int
	hasPlace        bool
	lastPlace       uint64
}

// waiter is a response that waits for bytes.
type waiter struct {
	response *Response
	bytes    int
	// granted is closed when the response has got them.
	granted chan struct{}
}

// Option sets one optional property of an allocator.
type Option func(*Allocator)

// WithPool sets the size of the pool in bytes.
func WithPool(bytes int) Option { return func(a *Allocator) { a.poolBytes = bytes } }

// New returns an allocator.
func New(options ...Option) *Allocator {
	a := &Allocator{poolBytes: defaultPoolBytes, owners: make(map[string]*owner)}
	for _, o := range options {
		o(a)
	}
	return a
}

// UsedBytes returns the number of bytes that are taken from the pool.
func (a *Allocator) UsedBytes() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.used
}

// Response is the memory of one buffered response. Its methods must not be called at the same
// time.
type Response struct {
	allocator *Allocator
	owner     string
	// bytes is the size so far, pooled the part of it that is taken from the pool.
	bytes, pooled int
	// hasPlace is true if the response has a place in the reserve.
	hasPlace bool
}

// Open returns the memory of a new response of an owner. The function frees it.
func (a *Allocator) Open(ownerName string) (*Response, func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.openOwner(ownerName)
	r := &Response{allocator: a, owner: ownerName}
	return r, sync.OnceFunc(r.free)
}

// Transfer makes a response that of another owner, such as the one who has yet to read it. What it
// holds counts for that one from then on, whether that exceeds its share or not.
func (r *Response) Transfer(ownerName string) {
	a := r.allocator
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if r.pooled == 0 && !r.hasPlace || r.owner == ownerName {
		return
	}
	former, next := a.owners[r.owner], a.openOwner(ownerName)
	former.used -= r.pooled
	next.used += r.pooled
	if r.hasPlace {
		// The place stays taken, but the former owner may have another one.
		former.hasPlace = false
	}
	a.closeOwner(r.owner)
	r.owner = ownerName
	a.grantWaiters()
}

// HasShare reports whether an owner holds no more than its share.
func (a *Allocator) HasShare(ownerName string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	o, ok := a.owners[ownerName]
	return !ok || o.used <= a.poolBytes-a.used
}

// openOwner returns the owner of a further response. The caller holds the mutex.
func (a *Allocator) openOwner(name string) *owner {
	o, ok := a.owners[name]
	if !ok {
		o = &owner{}
		a.owners[name] = o
	}
	o.responses++
	return o
}

// closeOwner records that an owner has a response less. The caller holds the mutex.
func (a *Allocator) closeOwner(name string) {
	if o := a.owners[name]; o.responses > 1 {
		o.responses--
		return
	}
	delete(a.owners, name)
}

// Grow waits until the response may hold a number of further bytes. Its error is that of the
// context.
func (r *Response) Grow(ctx context.Context, bytes int) error {
	w := r.allocator.request(r, bytes)
	if w == nil {
		return nil
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	if r.allocator.cancel(w) {
		return ctx.Err()
	}
	return nil
}

// TryGrow is Grow without a wait. It reports whether the response may hold the bytes.
func (r *Response) TryGrow(bytes int) bool {
	w := r.allocator.request(r, bytes)
	return w == nil || !r.allocator.cancel(w)
}

// request grants bytes to a response, or returns a waiter for them.
func (a *Allocator) request(r *Response, bytes int) *waiter {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if r.bytes+bytes <= FreeBytes || r.hasPlace {
		r.bytes += bytes
		return nil
	}
	w := &waiter{response: r, bytes: bytes, granted: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	a.grantWaiters()
	if isGranted(w) {
		return nil
	}
	return w
}

// cancel removes a waiter. It returns false if it has been granted.
func (a *Allocator) cancel(w *waiter) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	n := slices.Index(a.waiters, w)
	if n < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, n, n+1)
	return true
}

func (r *Response) free() {
	a := r.allocator
	a.mutex.Lock()
	defer a.mutex.Unlock()
	o := a.owners[r.owner]
	a.used -= r.pooled
	o.used -= r.pooled
	if r.hasPlace {
		o.hasPlace = false
		a.reserved--
	}
	r.bytes, r.pooled, r.hasPlace = 0, 0, false
	a.closeOwner(r.owner)
	a.grantWaiters()
}

// grantWaiters grants what fits into the shares, and the places in the reserve that are free. The
// caller holds the mutex.
func (a *Allocator) grantWaiters() {
	a.waiters = slices.DeleteFunc(a.waiters, func(w *waiter) bool {
		o := a.owners[w.response.owner]
		if o.used+w.bytes > a.poolBytes-a.used-w.bytes {
			return false
		}
		o.used += w.bytes
		a.used += w.bytes
		w.response.pooled += w.bytes
		w.grant()
		return true
	})
	for a.reserved < reservePlaces {
		w := a.nextForReserve()
		if w == nil {
			return
		}
		o := a.owners[w.response.owner]
		a.reserved++
		a.lastPlace++
		o.hasPlace, o.lastPlace, w.response.hasPlace = true, a.lastPlace, true
		w.grant()
		a.waiters = slices.DeleteFunc(a.waiters, func(other *waiter) bool { return other == w })
	}
}

// nextForReserve returns the waiter that gets the next place in the reserve, nil for none: of the
// owner whose last place is the oldest, the largest response.
func (a *Allocator) nextForReserve() *waiter {
	var best *waiter
	for _, w := range a.waiters {
		if a.owners[w.response.owner].hasPlace {
			continue
		}
		if best == nil || a.compareForReserve(w, best) < 0 {
			best = w
		}
	}
	return best
}

func (a *Allocator) compareForReserve(w, other *waiter) int {
	return cmp.Or(cmp.Compare(a.owners[w.response.owner].lastPlace, a.owners[other.response.owner].lastPlace), cmp.Compare(other.response.bytes, w.response.bytes))
}

func (w *waiter) grant() {
	w.response.bytes += w.bytes
	close(w.granted)
}

func isGranted(w *waiter) bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}
