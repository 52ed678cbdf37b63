// Package log is a stand-in for the platform's append-only log service.
package log

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

const (
	defaultMaxRecords = 1 << 20
	defaultMaxAge     = 24 * time.Hour
	// responseHeaderBytes approximates the size of the status line and header of one
	// response.
	responseHeaderBytes = 150
)

// entry is one appended record.
type entry struct {
	id         string
	data       []byte
	appendedAt time.Time
}

// stream is one stream of records. entries[0] has the offset oldestOffset.
type stream struct {
	entries      []entry
	oldestOffset uint64
	appended     chan struct{}
}

// streamEndpoint identifies a stream as read at one address of the log.
type streamEndpoint struct {
	address    string
	streamName string
}

// Log stores streams in memory and serves them at one or more endpoints.
type Log struct {
	maxRecordsPerStream int
	maxRecordAge        time.Duration
	appendLimiter       *rate.Limiter

	mu                    sync.Mutex
	inOutage              bool
	appendResponsesToLose int
	requestDelay          time.Duration
	streams               map[string]*stream
	appendedRecords       int
	// readBytes is the total size of the responses to reads.
	readBytes map[streamEndpoint]int64
}

// Option sets one optional property of a log.
type Option func(*Log)

// WithRetention limits the retained records of each stream by number and by age.
func WithRetention(maxRecords int, maxAge time.Duration) Option {
	return func(l *Log) { l.maxRecordsPerStream, l.maxRecordAge = maxRecords, maxAge }
}

// WithRate limits the append rate of all writers together.
func WithRate(appendsPerSecond float64) Option {
	return func(l *Log) { l.appendLimiter = rate.NewLimiter(rate.Limit(appendsPerSecond), int(appendsPerSecond)+1) }
}

// New returns an empty log. Without options it has no rate limit and retains the
// newest 1,048,576 records of each stream for up to 24 hours.
func New(options ...Option) *Log {
	l := &Log{
		maxRecordsPerStream: defaultMaxRecords, maxRecordAge: defaultMaxAge,
		appendLimiter: rate.NewLimiter(rate.Inf, 1), streams: make(map[string]*stream),
		readBytes: make(map[streamEndpoint]int64),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Listen serves the log at an additional endpoint. Each endpoint has its own faults,
// so that the log can be unreachable for some readers only. The returned function
// closes the endpoint.
func (l *Log) Listen() (*faulter.Server, func(), error) { return l.ListenWithHandler(l.routes()) }

// ListenWithHandler is Listen with a handler for another protocol. Delays and outages
// of the log affect it too.
func (l *Log) ListenWithHandler(handler http.Handler) (*faulter.Server, func(), error) {
	server, cleanUp, err := faulter.Start(l.withFaults(handler))
	if err != nil {
		return nil, nil, err
	}
	server.RegisterFault("out", func(count int, _ time.Duration) { l.SetOutage(count > 0) })
	server.RegisterFault("slow", func(_ int, d time.Duration) { l.SetDelay(d) })
	server.RegisterFault("lose-append-answers", func(count int, _ time.Duration) { l.LoseAppendResponses(count) })
	return server, cleanUp, nil
}

// SetOutage starts or ends an outage, during which all requests are refused.
func (l *Log) SetOutage(inOutage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inOutage = inOutage
}

// SetDelay delays every append and read by d.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestDelay = d
}

// LoseAppendResponses makes the next n appends take effect without a response.
func (l *Log) LoseAppendResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendResponsesToLose = n
}

// Truncate drops all but the newest keep records of a stream.
func (l *Log) Truncate(name string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).keepNewest(keep)
}

// Ends returns the offset of the next record of each stream.
func (l *Log) Ends() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := make(map[string]uint64, len(l.streams))
	for name, s := range l.streams {
		ends[name] = s.nextOffset()
	}
	return ends
}

// GoBack drops the records that were appended since the streams had the given ends, so that their
// offsets are given out again. Waiting readers read again.
func (l *Log) GoBack(ends map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.streams {
		end := max(ends[name], s.oldestOffset)
		s.entries = append([]entry(nil), s.entries[:min(end-s.oldestOffset, uint64(len(s.entries)))]...)
		close(s.appended)
		s.appended = make(chan struct{})
	}
}

// AppendedRecords returns the number of records appended since the start.
func (l *Log) AppendedRecords() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendedRecords
}

// ReadBytes returns the total size of the responses to reads of a stream at one
// address of the log: their bodies and responseHeaderBytes for each header.
func (l *Log) ReadBytes(address, name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readBytes[streamEndpoint{address: address, streamName: name}]
}

func (l *Log) countReadBytes(r *http.Request, bodyBytes int) {
	e := streamEndpoint{streamName: r.PathValue("name")}
	if a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		e.address = a.String()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readBytes[e] += int64(bodyBytes) + responseHeaderBytes
}

// Records returns the data of the retained records of a stream, oldest first.
func (l *Log) Records(name string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records [][]byte
	for _, e := range l.stream(name).entries {
		records = append(records, e.data)
	}
	return records
}

// stream returns a stream and creates it if it does not exist. Callers hold the lock.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{oldestOffset: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// append adds a record and returns its offset. Callers hold the lock.
func (l *Log) append(name string, e entry) uint64 {
	s := l.stream(name)
	s.entries = append(s.entries, e)
	l.appendedRecords++
	l.applyRetention(s, e.appendedAt)
	close(s.appended)
	s.appended = make(chan struct{})
	return s.nextOffset() - 1
}

// applyRetention drops the records that exceed the retention limits. Callers hold the
// lock.
func (l *Log) applyRetention(s *stream, now time.Time) {
	s.keepNewest(l.maxRecordsPerStream)
	expired := 0
	for expired < len(s.entries) && now.Sub(s.entries[expired].appendedAt) > l.maxRecordAge {
		expired++
	}
	s.keepNewest(len(s.entries) - expired)
}

// nextOffset returns the offset of the next record to be appended.
func (s *stream) nextOffset() uint64 { return s.oldestOffset + uint64(len(s.entries)) }

// keepNewest drops all but the newest maxEntries entries.
func (s *stream) keepNewest(maxEntries int) {
	if n := len(s.entries) - maxEntries; n > 0 {
		s.entries = append([]entry(nil), s.entries[n:]...)
		s.oldestOffset += uint64(n)
	}
}
