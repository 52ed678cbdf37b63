package publisher

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/watcher"
)

const (
	// pollInterval is the time between two status requests to an entry host.
	pollInterval = 100 * time.Millisecond
	// statusTimeout bounds the time without progress of one status request.
	statusTimeout = 2 * time.Second
	// maxStatusBytes is the largest status response that is read.
	maxStatusBytes = 1 << 20
)

// HostStatus is the configuration in force that one entry host reports.
type HostStatus struct {
	// BaseURL is the base URL of the host's operator API.
	BaseURL string
	// HostID identifies the host, "" if it has not responded.
	HostID fuchsiapitch.HostID
	// ConfigurationOffset is the offset of its configuration.
	ConfigurationOffset fuchsiapitch.Offset
	// ConfigurationHash is the hash of its configuration.
	ConfigurationHash uint64
	// InForce is true if the awaited offset is in force on the host.
	InForce bool
	// Err is the error of the last status request, nil if it succeeded.
	Err error
}

// Waiter waits until a configuration is in force on entry hosts.
type Waiter struct {
	client        *http.Client
	operatorToken string
	baseURLs      []string
}

// WaiterOption sets one optional property of a waiter.
type WaiterOption func(*Waiter)

// WithOperatorToken sets the bearer token for the operator API.
func WithOperatorToken(token string) WaiterOption { return func(w *Waiter) { w.operatorToken = token } }

// NewWaiter returns a waiter for the entry hosts whose operator APIs have the
// given base URLs.
func NewWaiter(baseURLs []string, options ...WaiterOption) *Waiter {
	w := &Waiter{client: http.DefaultClient, baseURLs: baseURLs}
	for _, o := range options {
		o(w)
	}
	return w
}

// Wait waits until a configuration at or after an offset is in force on every host,
// or the context ends. It returns the last status of each host, in the order of
// the base URLs.
func (w *Waiter) Wait(ctx context.Context, offset fuchsiapitch.Offset) []HostStatus {
	statuses := make([]HostStatus, len(w.baseURLs))
	finished := make(chan struct{})
	for i, u := range w.baseURLs {
		go func() {
			statuses[i] = w.waitForHost(ctx, u, offset)
			finished <- struct{}{}
		}()
	}
	for range w.baseURLs {
		<-finished
	}
	return statuses
}

func (w *Waiter) waitForHost(ctx context.Context, baseURL string, offset fuchsiapitch.Offset) HostStatus {
	lastStatus := HostStatus{BaseURL: baseURL}
	for {
		status := w.fetchStatus(ctx, baseURL)
		if ctx.Err() != nil && lastStatus.HostID != "" {
			return lastStatus
		}
		status.InForce = status.Err == nil && status.ConfigurationOffset >= offset
		if status.InForce || ctx.Err() != nil {
			return status
		}
		lastStatus = status
		sleep(ctx, pollInterval)
	}
}

// statusResponse is the JSON form of a host's status.
type statusResponse struct {
	Host   string `json:"host"`
	Offset uint64 `json:"configuration-offset"`
	Hash   uint64 `json:"configuration-hash"`
}

func (w *Waiter) fetchStatus(ctx context.Context, baseURL string) HostStatus {
	ctx, watch, stop := watcher.New(ctx, baseURL, statusTimeout, statusTimeout)
	defer stop()
	fail := func(status int, err error) HostStatus {
		return HostStatus{BaseURL: baseURL, Err: &StatusError{BaseURL: baseURL, HTTPStatus: status, Err: err}}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/status", http.NoBody)
	if err != nil {
		return fail(0, err)
	}
	if w.operatorToken != "" {
		request.Header.Set("Authorization", "Bearer "+w.operatorToken)
	}
	response, err := w.client.Do(request)
	if err != nil {
		return fail(0, err)
	}
	defer response.Body.Close()
	watch.BeginPart()
	if response.StatusCode != http.StatusOK {
		return fail(response.StatusCode, nil)
	}
	var body statusResponse
	if err := json.NewDecoder(watch.Watch(http.MaxBytesReader(nil, response.Body, maxStatusBytes))).Decode(&body); err != nil {
		return fail(response.StatusCode, err)
	}
	return HostStatus{
		BaseURL: baseURL, HostID: fuchsiapitch.HostID(body.Host), ConfigurationOffset: fuchsiapitch.Offset(body.Offset), ConfigurationHash: body.Hash,
	}
}
