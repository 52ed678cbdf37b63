// Package weigher is an HTTP client of the platform's weight store, which knows the
// sizes of model weights. It implements fuchsiapitch.WeightStore.
package weigher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/requester"
)

const (
	systemName         = "weight store"
	sizeAction         = "size"
	maxResponseBytes   = 1 << 16
	defaultReadTimeout = 3 * time.Second
)

// Weigher is a client of the weight store.
type Weigher struct {
	address     string
	readTimeout time.Duration
	requester   *requester.Requester
}

// Option sets one optional property of a weigher.
type Option func(*Weigher)

// New returns a client of the weight store at an IP address and port. A read times out
// after 3 s. The returned function closes the idle connections.
func New(address string, options ...Option) (*Weigher, func()) {
	client, closeConnections := requester.New(maxResponseBytes)
	w := &Weigher{address: address, readTimeout: defaultReadTimeout, requester: client}
	for _, o := range options {
		o(w)
	}
	return w, closeConnections
}

// BytesPerServer implements fuchsiapitch.WeightStore.
func (w *Weigher) BytesPerServer(ctx context.Context, model, version string) (int64, error) {
	response, err := w.requester.Send(ctx, requester.Request{
		Method: http.MethodGet, Timeout: w.readTimeout,
		URL: "http://" + w.address + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version),
	})
	if err != nil {
		return 0, unavailableError(err)
	}
	if response.Status != http.StatusOK {
		return 0, unavailableError(&requester.StatusError{Status: response.Status})
	}
	size, err := decodeSize(response.Body)
	if err != nil {
		return 0, unavailableError(err)
	}
	return size, nil
}

func unavailableError(err error) error {
	return &fuchsiapitch.UnavailableError{System: systemName, Action: sizeAction, Err: err}
}

// sizeResponse is the JSON form of the number of bytes that one backend server loads
// for a model version.
type sizeResponse struct {
	Bytes int64 `json:"bytes"`
}

// InvalidSizeError reports a size that is not positive.
type InvalidSizeError struct {
	// Bytes is the invalid size.
	Bytes int64
}

// Error implements error.
func (e *InvalidSizeError) Error() string {
	return fmt.Sprintf("weight store returned an invalid size: %d bytes", e.Bytes)
}

func decodeSize(data []byte) (int64, error) {
	var decoded sizeResponse
	if err := json.Unmarshal(data, &decoded); err != nil {
		return 0, err
	}
	if decoded.Bytes <= 0 {
		return 0, &InvalidSizeError{Bytes: decoded.Bytes}
	}
	return decoded.Bytes, nil
}
