package publisher

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// pollPeriod is the time between two looks at an entry host.
	pollPeriod = 100 * time.Millisecond
	// statusTimeout bounds one look at an entry host.
	statusTimeout = 2 * time.Second
	// statusLimit is the largest status that is read, in bytes.
	statusLimit = 1 << 20
)

// HostStatus is what one entry host says of its configuration.
type HostStatus struct {
	// Address is the base URL of the host's operator API.
	Address string
	// Host identifies the host, "" if it has not answered.
	Host fuchsiapitch.HostID
	// Offset is the offset of its configuration.
	Offset fuchsiapitch.Offset
	// Hash is the hash of its configuration.
	Hash uint64
	// InForce states that the awaited offset is in force.
	InForce bool
	// Err is the last failure, if the host has not answered.
	Err error
}

// Waiter waits until entry hosts have a configuration in force.
type Waiter struct {
	client    *http.Client
	token     string
	addresses []string
}

// WaiterOption sets one optional property of a waiter.
type WaiterOption func(*Waiter)

// WithToken sets the bearer token of operators.
func WithToken(token string) WaiterOption { return func(w *Waiter) { w.token = token } }

// NewWaiter returns a waiter for the entry hosts with the given base URLs of
// their operator APIs.
func NewWaiter(addresses []string, options ...WaiterOption) *Waiter {
	w := &Waiter{client: http.DefaultClient, addresses: addresses}
	for _, o := range options {
		o(w)
	}
	return w
}

// Wait waits until every host has an offset in force or the context ends. It
// returns the last word of each host, in the order of the addresses.
func (w *Waiter) Wait(ctx context.Context, offset fuchsiapitch.Offset) []HostStatus {
	statuses := make([]HostStatus, len(w.addresses))
	ended := make(chan struct{})
	for i, a := range w.addresses {
		go func() {
			statuses[i] = w.waitFor(ctx, a, offset)
			ended <- struct{}{}
		}()
	}
	for range w.addresses {
		<-ended
	}
	return statuses
}

func (w *Waiter) waitFor(ctx context.Context, address string, offset fuchsiapitch.Offset) HostStatus {
	last := HostStatus{Address: address}
	for {
		status := w.ask(ctx, address)
		if ctx.Err() != nil && last.Host != "" {
			return last
		}
		status.InForce = status.Err == nil && status.Offset >= offset
		if status.InForce || ctx.Err() != nil {
			return status
		}
		last = status
		pause(ctx, pollPeriod)
	}
}

// statusAnswer is the wire form of a host's status.
type statusAnswer struct {
	Host   string `json:"host"`
	Offset uint64 `json:"configuration-offset"`
	Hash   uint64 `json:"configuration-hash"`
}

func (w *Waiter) ask(ctx context.Context, address string) HostStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	fail := func(status int, err error) HostStatus {
		return HostStatus{Address: address, Err: &StatusError{Address: address, Status: status, Err: err}}
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/status", http.NoBody)
	if err != nil {
		return fail(0, err)
	}
	if w.token != "" {
		q.Header.Set("Authorization", "Bearer "+w.token)
	}
	answer, err := w.client.Do(q)
	if err != nil {
		return fail(0, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fail(answer.StatusCode, nil)
	}
	var body statusAnswer
	if err := json.NewDecoder(http.MaxBytesReader(nil, answer.Body, statusLimit)).Decode(&body); err != nil {
		return fail(answer.StatusCode, err)
	}
	return HostStatus{
		Address: address, Host: fuchsiapitch.HostID(body.Host), Offset: fuchsiapitch.Offset(body.Offset), Hash: body.Hash,
	}
}
