// Package recorder is an HTTP client of the platform's log. It implements
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
	systemName       = "log"
	recordIDHeader   = "X-Record-Id"
	maxResponseBytes = 64 << 20

	defaultReadWait      = 2 * time.Second
	defaultAppendTimeout = 3 * time.Second
	minReadGrace         = time.Second
	maxReadGrace         = 8 * time.Second
)

// Recorder is a client of the platform's log.
type Recorder struct {
	address       string
	readWait      time.Duration
	appendTimeout time.Duration
	requester     *requester.Requester

	mutex     sync.Mutex
	readGrace time.Duration
}

// Option sets one optional property of a recorder.
type Option func(*Recorder)

// WithReadWait sets how long the log waits for a first record before it responds to
// a read with an empty batch.
func WithReadWait(wait time.Duration) Option { return func(r *Recorder) { r.readWait = wait } }

// New returns a client of the log at an IP address and port. By default a read
// waits for 2 s, and an append times out after 3 s without a byte. The returned
// function closes the idle connections.
func New(address string, options ...Option) (*Recorder, func()) {
	client, closeConnections := requester.New(maxResponseBytes)
	r := &Recorder{
		address: address, readWait: defaultReadWait, appendTimeout: defaultAppendTimeout,
		requester: client, readGrace: minReadGrace,
	}
	for _, o := range options {
		o(r)
	}
	return r, closeConnections
}

func (r *Recorder) recordsURL(stream fuchsiapitch.StreamName) string {
	return "http://" + r.address + "/streams/" + url.PathEscape(string(stream)) + "/records"
}

// Append implements fuchsiapitch.Log.
func (r *Recorder) Append(ctx context.Context, stream fuchsiapitch.StreamName, record fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	uncertainError := func(err error) error {
		return &fuchsiapitch.UncertainAppendError{Stream: stream, Record: record.ID(), Err: err}
	}
	response, err := r.requester.Send(ctx, requester.Request{
		Method: http.MethodPost, URL: r.recordsURL(stream), Body: record.Data(), Timeout: r.appendTimeout,
		Header: map[string]string{recordIDHeader: string(record.ID())},
	})
	if err != nil {
		if mayHaveBeenSent(err) {
			return 0, uncertainError(err)
		}
		return 0, unavailableError("append", err)
	}
	if response.Status != http.StatusOK {
		err := &requester.StatusError{Status: response.Status}
		if isRejection(response.Status) {
			return 0, unavailableError("append", err)
		}
		return 0, uncertainError(err)
	}
	offset, err := decodeAppendResponse(response.Body)
	if err != nil {
		return 0, uncertainError(err)
	}
	return offset, nil
}

// isRejection reports whether a status means that the log has appended nothing.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

// mayHaveBeenSent reports whether a failed request may have reached the log.
func mayHaveBeenSent(err error) bool {
	var requestError *requester.RequestError
	return !errors.As(err, &requestError) || requestError.MayHaveBeenSent
}

func unavailableError(action string, err error) error {
	return &fuchsiapitch.UnavailableError{System: systemName, Action: action, Err: err}
}

// Read implements fuchsiapitch.Log.
func (r *Recorder) Read(ctx context.Context, stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, limit int) (fuchsiapitch.Batch, error) {
	response, err := r.requester.Send(ctx, requester.Request{
		Method: http.MethodGet, Timeout: r.readWait + r.currentReadGrace(),
		URL: fmt.Sprintf("%s?from=%d&limit=%d&wait-ms=%d", r.recordsURL(stream), from, limit, r.readWait.Milliseconds()),
	})
	if err != nil {
		if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
			r.setReadGrace(2 * r.currentReadGrace())
		}
		return fuchsiapitch.Batch{}, unavailableError("read", err)
	}
	r.setReadGrace(2 * (response.HeaderDelay - r.readWait))
	return decodeReadResponse(stream, from, response)
}

// currentReadGrace returns the time without a byte that a read may take in addition
// to the read wait. A short grace detects silent connections early. It adapts to
// the latency of the log: a time-out doubles it, and a response sets it to twice the
// time that its header took in addition to the read wait.
func (r *Recorder) currentReadGrace() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.readGrace
}

// setReadGrace sets the read grace, limited to the range from minReadGrace to
// maxReadGrace.
func (r *Recorder) setReadGrace(grace time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readGrace = min(max(grace, minReadGrace), maxReadGrace)
}

// appendResponse, recordResponse, readResponse and truncatedResponse are the JSON
// bodies of the log's responses.
type appendResponse struct {
	Offset uint64 `json:"offset"`
}

type recordResponse struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type readResponse struct {
	Records []recordResponse `json:"records"`
	Oldest  uint64           `json:"oldest"`
	Next    uint64           `json:"next"`
}

type truncatedResponse struct {
	Oldest uint64 `json:"oldest"`
}

// OffsetError reports a response of the log with an invalid offset: 0 for an
// append, or offsets of a read that do not increase.
type OffsetError struct {
	// Offset is the invalid offset.
	Offset fuchsiapitch.Offset
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("log response contains invalid offset %d", e.Offset)
}

func decodeAppendResponse(data []byte) (fuchsiapitch.Offset, error) {
	var decoded appendResponse
	if err := json.Unmarshal(data, &decoded); err != nil {
		return 0, err
	}
	if decoded.Offset == 0 {
		return 0, &OffsetError{}
	}
	return fuchsiapitch.Offset(decoded.Offset), nil
}

func decodeReadResponse(stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, response requester.Response) (fuchsiapitch.Batch, error) {
	switch response.Status {
	case http.StatusOK:
		batch, err := decodeBatch(from, response.Body)
		if err != nil {
			return fuchsiapitch.Batch{}, unavailableError("read", err)
		}
		return batch, nil
	case http.StatusGone:
		var truncated truncatedResponse
		if err := json.Unmarshal(response.Body, &truncated); err != nil {
			return fuchsiapitch.Batch{}, unavailableError("read", err)
		}
		return fuchsiapitch.Batch{}, &fuchsiapitch.LogTruncatedError{Stream: stream, From: from, Oldest: fuchsiapitch.Offset(truncated.Oldest)}
	default:
		return fuchsiapitch.Batch{}, unavailableError("read", &requester.StatusError{Status: response.Status})
	}
}

// decodeBatch decodes the response to a read, and checks that offsets increase from
// the requested one.
func decodeBatch(from fuchsiapitch.Offset, data []byte) (fuchsiapitch.Batch, error) {
	var decoded readResponse
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fuchsiapitch.Batch{}, err
	}
	records := make([]fuchsiapitch.Record, 0, len(decoded.Records))
	lastOffset := max(from, 1) - 1
	for _, v := range decoded.Records {
		offset := fuchsiapitch.Offset(v.Offset)
		if offset <= lastOffset {
			return fuchsiapitch.Batch{}, &OffsetError{Offset: offset}
		}
		lastOffset = offset
		records = append(records, fuchsiapitch.NewRecord(fuchsiapitch.RecordID(v.ID), v.Data).WithOffset(offset))
	}
	nextOffset := fuchsiapitch.Offset(decoded.Next)
	if nextOffset <= lastOffset {
		return fuchsiapitch.Batch{}, &OffsetError{Offset: nextOffset}
	}
	return fuchsiapitch.NewBatch(records, fuchsiapitch.Offset(decoded.Oldest), nextOffset), nil
}
