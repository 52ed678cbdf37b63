// Package log is a stand-in of the platform's append-only log service.
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
	defaultKeepRecords = 1 << 20
	defaultKeepFor     = 24 * time.Hour
	// answerHeaderBytes stands for the status line and header of one answer.
	answerHeaderBytes = 150
)

// entry is one appended record.
type entry struct {
	id       string
	data     []byte
	appended time.Time
}

// stream is one stream. Its first kept entry has offset oldest.
type stream struct {
	entries []entry
	oldest  uint64
	changed chan struct{}
}

// endpoint is one stream at one address of the log.
type endpoint struct {
	address string
	stream  string
}

// Log keeps streams in memory and serves them at one or more endpoints.
type Log struct {
	keepRecords int
	keepFor     time.Duration
	limiter     *rate.Limiter

	mu      sync.Mutex
	out     bool
	lose    int
	delay   time.Duration
	streams map[string]*stream
	appends int
	// readBytes is the size of the answers to reads in bytes.
	readBytes map[endpoint]int64
}

// Option sets one optional property of a log.
type Option func(*Log)

// WithRetention limits the records kept for each stream by number and by age.
func WithRetention(records int, age time.Duration) Option {
	return func(l *Log) { l.keepRecords, l.keepFor = records, age }
}

// WithRate limits the appends a second of all writers together.
func WithRate(appendsPerSecond float64) Option {
	return func(l *Log) { l.limiter = rate.NewLimiter(rate.Limit(appendsPerSecond), int(appendsPerSecond)+1) }
}

// New returns an empty log. Without options it has no rate limit and keeps a
// million records of each stream for a day.
func New(options ...Option) *Log {
	l := &Log{
		keepRecords: defaultKeepRecords, keepFor: defaultKeepFor,
		limiter: rate.NewLimiter(rate.Inf, 1), streams: make(map[string]*stream),
		readBytes: make(map[endpoint]int64),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Listen serves the log at one more endpoint, which has faults of its own, so
// that a part of the readers can be cut off. It returns a clean-up function.
func (l *Log) Listen() (*faulter.Server, func(), error) { return l.ListenAs(l.routes()) }

// ListenAs serves the log at one more endpoint under another protocol than its
// own. Delays and outages of the log strike it too.
func (l *Log) ListenAs(protocol http.Handler) (*faulter.Server, func(), error) {
	server, cleanUp, err := faulter.Start(l.gate(protocol))
	if err != nil {
		return nil, nil, err
	}
	server.Extend("out", func(count int, _ time.Duration) { l.SetOut(count > 0) })
	server.Extend("slow", func(_ int, d time.Duration) { l.SetDelay(d) })
	server.Extend("lose-append-answers", func(count int, _ time.Duration) { l.LoseAppendAnswers(count) })
	return server, cleanUp, nil
}

// SetOut starts or ends an outage: nothing is appended or read.
func (l *Log) SetOut(out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
}

// SetDelay makes every append and read slow by d.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseAppendAnswers makes the next n appends take effect without an answer.
func (l *Log) LoseAppendAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Truncate drops all but the newest records of a stream.
func (l *Log) Truncate(name string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).drop(keep)
}

// Appends returns the number of records appended since the start.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// ReadBytes returns the size of all answers to reads of a stream at one address
// of the log: their bodies and answerHeaderBytes for each header.
func (l *Log) ReadBytes(address, name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readBytes[endpoint{address: address, stream: name}]
}

func (l *Log) countRead(r *http.Request, body int) {
	e := endpoint{stream: r.PathValue("name")}
	if a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		e.address = a.String()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readBytes[e] += int64(body) + answerHeaderBytes
}

// Records returns the data of the records kept of a stream, oldest first.
func (l *Log) Records(name string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all [][]byte
	for _, e := range l.stream(name).entries {
		all = append(all, e.data)
	}
	return all
}

// stream returns a stream and creates it when it is new. Callers hold the lock.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{oldest: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// append adds a record and returns its offset. Callers hold the lock.
func (l *Log) append(name string, e entry) uint64 {
	s := l.stream(name)
	s.entries = append(s.entries, e)
	l.appends++
	l.expire(s, e.appended)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.next() - 1
}

// expire drops what is past retention. Callers hold the lock.
func (l *Log) expire(s *stream, now time.Time) {
	s.drop(l.keepRecords)
	old := 0
	for old < len(s.entries) && now.Sub(s.entries[old].appended) > l.keepFor {
		old++
	}
	s.drop(len(s.entries) - old)
}

// next returns the offset that the next record gets.
func (s *stream) next() uint64 { return s.oldest + uint64(len(s.entries)) }

func (s *stream) drop(keep int) {
	if n := len(s.entries) - keep; n > 0 {
		s.entries = append([]entry(nil), s.entries[n:]...)
		s.oldest += uint64(n)
	}
}
