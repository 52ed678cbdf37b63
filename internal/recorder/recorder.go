// Package recorder speaks to the platform's log over HTTP. It implements
// fuchsiapitch.Log.
package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/requester"
)

const (
	system         = "log"
	recordIDHeader = "X-Record-Id"
	maxAnswerBytes = 64 << 20

	defaultWait    = 2 * time.Second
	defaultTimeout = 10 * time.Second
	minGrace       = time.Second
	maxGrace       = 15 * time.Second
)

// Recorder is a client of the platform's log.
type Recorder struct {
	address   string
	wait      time.Duration
	timeout   time.Duration
	requester *requester.Requester

	mu    sync.Mutex
	grace time.Duration
}

// Option sets one optional property of a recorder.
type Option func(*Recorder)

// WithWait sets the time that the log waits for the first record of a read.
func WithWait(wait time.Duration) Option { return func(r *Recorder) { r.wait = wait } }

// New returns a client of the log at an IP number and port. Without options a
// read waits for 2 s and an append may take 10 s. The clean-up function closes
// the kept connections.
func New(address string, options ...Option) (*Recorder, func()) {
	q, cleanUp := requester.New(maxAnswerBytes)
	r := &Recorder{
		address: address, wait: defaultWait, timeout: defaultTimeout,
		requester: q, grace: minGrace,
	}
	for _, o := range options {
		o(r)
	}
	return r, cleanUp
}

func (r *Recorder) url(stream fuchsiapitch.StreamName) string {
	return "http://" + r.address + "/streams/" + url.PathEscape(string(stream)) + "/records"
}

// Append implements fuchsiapitch.Log.
func (r *Recorder) Append(ctx context.Context, stream fuchsiapitch.StreamName, record fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	uncertain := func(err error) error {
		return &fuchsiapitch.UncertainAppendError{Stream: stream, Record: record.ID(), Err: err}
	}
	answer, err := r.requester.Send(ctx, requester.Request{
		Method: http.MethodPost, URL: r.url(stream), Body: record.Data(), Timeout: r.timeout,
		Header: map[string]string{recordIDHeader: string(record.ID())},
	})
	if err != nil {
		if isSent(err) {
			return 0, uncertain(err)
		}
		return 0, unavailable("append", err)
	}
	if answer.Status != http.StatusOK {
		err := &requester.StatusError{Status: answer.Status}
		if isRefusal(answer.Status) {
			return 0, unavailable("append", err)
		}
		return 0, uncertain(err)
	}
	offset, err := decodeAppend(answer.Body)
	if err != nil {
		return 0, uncertain(err)
	}
	return offset, nil
}

// isRefusal reports whether a status states that nothing was appended.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

func isSent(err error) bool {
	var failed *requester.RequestError
	return !errors.As(err, &failed) || failed.Sent
}

func unavailable(action string, err error) error {
	return &fuchsiapitch.UnavailableError{System: system, Action: action, Err: err}
}

// Read implements fuchsiapitch.Log.
func (r *Recorder) Read(ctx context.Context, stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, limit int) (fuchsiapitch.Batch, error) {
	started := time.Now()
	answer, err := r.requester.Send(ctx, requester.Request{
		Method: http.MethodGet, Timeout: r.wait + r.currentGrace(),
		URL: fmt.Sprintf("%s?from=%d&limit=%d&wait-ms=%d", r.url(stream), from, limit, r.wait.Milliseconds()),
	})
	if err != nil {
		if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
			r.adaptGrace(2 * r.currentGrace())
		}
		return fuchsiapitch.Batch{}, unavailable("read", err)
	}
	r.adaptGrace(2 * (time.Since(started) - r.wait))
	return decodeRead(stream, from, answer)
}

// currentGrace returns the time that an answer may take beyond the wait. A
// short grace finds silent connections soon; it grows while the log is slow.
func (r *Recorder) currentGrace() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.grace
}

func (r *Recorder) adaptGrace(grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grace = min(max(grace, minGrace), maxGrace)
}

// appendAnswer, recordAnswer, readAnswer and truncatedAnswer are wire forms.
type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type recordAnswer struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type readAnswer struct {
	Records []recordAnswer `json:"records"`
	Oldest  uint64         `json:"oldest"`
	Next    uint64         `json:"next"`
}

type truncatedAnswer struct {
	Oldest uint64 `json:"oldest"`
}

// OffsetError reports an answer of the log whose offsets make no sense.
type OffsetError struct {
	// Offset is the offset in question.
	Offset fuchsiapitch.Offset
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("the log answered with the impossible offset %d", e.Offset)
}

func decodeAppend(data []byte) (fuchsiapitch.Offset, error) {
	var a appendAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return 0, err
	}
	if a.Offset == 0 {
		return 0, &OffsetError{}
	}
	return fuchsiapitch.Offset(a.Offset), nil
}

func decodeRead(stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, answer requester.Answer) (fuchsiapitch.Batch, error) {
	switch answer.Status {
	case http.StatusOK:
		batch, err := decodeBatch(from, answer.Body)
		if err != nil {
			return fuchsiapitch.Batch{}, unavailable("read", err)
		}
		return batch, nil
	case http.StatusGone:
		var a truncatedAnswer
		if err := json.Unmarshal(answer.Body, &a); err != nil {
			return fuchsiapitch.Batch{}, unavailable("read", err)
		}
		return fuchsiapitch.Batch{}, &fuchsiapitch.LogTruncatedError{Stream: stream, From: from, Oldest: fuchsiapitch.Offset(a.Oldest)}
	default:
		return fuchsiapitch.Batch{}, unavailable("read", &requester.StatusError{Status: answer.Status})
	}
}

// decodeBatch checks that offsets rise from the one that was asked for.
func decodeBatch(from fuchsiapitch.Offset, data []byte) (fuchsiapitch.Batch, error) {
	var a readAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return fuchsiapitch.Batch{}, err
	}
	records := make([]fuchsiapitch.Record, 0, len(a.Records))
	last := max(from, 1) - 1
	for _, v := range a.Records {
		offset := fuchsiapitch.Offset(v.Offset)
		if offset <= last {
			return fuchsiapitch.Batch{}, &OffsetError{Offset: offset}
		}
		last = offset
		records = append(records, fuchsiapitch.NewRecord(fuchsiapitch.RecordID(v.ID), v.Data).WithOffset(offset))
	}
	next := fuchsiapitch.Offset(a.Next)
	if next <= last {
		return fuchsiapitch.Batch{}, &OffsetError{Offset: next}
	}
	return fuchsiapitch.NewBatch(records, fuchsiapitch.Offset(a.Oldest), next), nil
}
