// Package weigher asks the platform's weight store for the sizes of models. It
// implements fuchsiapitch.WeightStore.
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
	system         = "weight store"
	action         = "size"
	maxAnswerBytes = 1 << 16
	defaultTimeout = 3 * time.Second
)

// Weigher is a client of the weight store.
type Weigher struct {
	address   string
	timeout   time.Duration
	requester *requester.Requester
}

// Option sets one optional property of a weigher.
type Option func(*Weigher)

// New returns a client of the weight store at an IP number and port. Without
// options an answer may take 3 s. The clean-up function closes the kept
// connections.
func New(address string, options ...Option) (*Weigher, func()) {
	q, cleanUp := requester.New(maxAnswerBytes)
	w := &Weigher{address: address, timeout: defaultTimeout, requester: q}
	for _, o := range options {
		o(w)
	}
	return w, cleanUp
}

// BytesPerServer implements fuchsiapitch.WeightStore.
func (w *Weigher) BytesPerServer(ctx context.Context, model, version string) (int64, error) {
	answer, err := w.requester.Send(ctx, requester.Request{
		Method: http.MethodGet, Timeout: w.timeout,
		URL: "http://" + w.address + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version),
	})
	if err != nil {
		return 0, unavailable(err)
	}
	if answer.Status != http.StatusOK {
		return 0, unavailable(&requester.StatusError{Status: answer.Status})
	}
	size, err := decode(answer.Body)
	if err != nil {
		return 0, unavailable(err)
	}
	return size, nil
}

func unavailable(err error) error {
	return &fuchsiapitch.UnavailableError{System: system, Action: action, Err: err}
}

// sizeAnswer is the wire form of a size.
type sizeAnswer struct {
	Bytes int64 `json:"bytes"`
}

// SizeError reports a size that makes no sense.
type SizeError struct {
	// Bytes is the size in question.
	Bytes int64
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("the weight store answered with the impossible size %d", e.Bytes)
}

func decode(data []byte) (int64, error) {
	var a sizeAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return 0, err
	}
	if a.Bytes <= 0 {
		return 0, &SizeError{Bytes: a.Bytes}
	}
	return a.Bytes, nil
}
