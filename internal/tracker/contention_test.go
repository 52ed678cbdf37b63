package tracker

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/pipe"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// sharedStore serves one record to many hosts. All responses share its bandwidth in the order
// of the requests, and a response whose reader has left still takes its share.
type sharedStore struct {
	bytesPerSecond float64
	valueBytes     int

	mutex     sync.Mutex
	version   int64
	published chan struct{}
	busyUntil time.Time
}

// publish appends a new version and wakes the long polls.
func (s *sharedStore) publish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	close(s.published)
	s.published = make(chan struct{})
}

// awaitVersion waits until the version is later than the given one, and returns it. It
// returns false if the reader leaves before.
func (s *sharedStore) awaitVersion(ctx context.Context, after int64) (int64, bool) {
	for {
		s.mutex.Lock()
		version, published := s.version, s.published
		s.mutex.Unlock()
		if version > after {
			return version, true
		}
		select {
		case <-published:
		case <-ctx.Done():
			return 0, false
		}
	}
}

// awaitTurn reserves bandwidth for a response and waits until it may be sent.
func (s *sharedStore) awaitTurn(responseBytes int) {
	s.mutex.Lock()
	if now := time.Now(); s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	turn := time.Until(s.busyUntil)
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(responseBytes) / s.bytesPerSecond * float64(time.Second)))
	s.mutex.Unlock()
	time.Sleep(turn)
}

// record returns the record of a version. Its value begins with the version.
func (s *sharedStore) record(version int64) []byte {
	value := bytes.Repeat([]byte{'v'}, s.valueBytes)
	binary.BigEndian.PutUint64(value, uint64(version))
	return value
}

// serve serves the store to a host whose link has the given bandwidth.
func (s *sharedStore) serve(w http.ResponseWriter, r *http.Request, linkBytesPerSecond float64) {
	var body []byte
	if r.URL.Path == "/log-newest" {
		version, _ := s.awaitVersion(r.Context(), 0)
		body = fmt.Appendf(nil, `{"items":[{"key":"k","value":"%s","offset":0}],"end":%d}`, base64.StdEncoding.EncodeToString(s.record(version)), version)
	} else {
		var from int64
		fmt.Sscan(r.URL.Query().Get("from"), &from)
		version, ok := s.awaitVersion(r.Context(), from)
		if !ok {
			return
		}
		value := s.record(version)
		body = binary.BigEndian.AppendUint32(make([]byte, 16), uint32(len(value)+2))
		body = append(append(body, 1, 'k'), value...)
	}
	s.awaitTurn(len(body))
	const chunks = 20
	pipe.WriteSlowly(w, body, chunks, time.Duration(float64(len(body))/linkBytesPerSecond/chunks*float64(time.Second)))
}

// Guards against hosts that respond with 404 on new routes, because all hosts restart their
// reads of a large configuration and keep the store busy with responses that nobody receives.
func TestLargeRecordReachesManyHosts(t *testing.T) {
	const (
		hosts, fastHosts = 79, 6
		fastLink         = 25e6  // bytes per second
		slowLink         = 2.5e6 // bytes per second
		hintInterval     = 300 * time.Millisecond
		limit            = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		store := &sharedStore{bytesPerSecond: 80e6, valueBytes: 480_000, version: 1, published: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		var mutex sync.Mutex
		versions := make([]int64, hosts)
		latest := int64(1)
		trackers := make([]*Tracker, hosts)
		serveResults := make(chan error, hosts)
		for n := range hosts {
			link := slowLink
			if n < fastHosts {
				link = fastLink
			}
			client := newPipeClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { store.serve(w, r, link) }))
			trackers[n] = New(client, "t", func(u Update) {
				mutex.Lock()
				defer mutex.Unlock()
				for _, r := range u.Records {
					versions[n] = max(versions[n], int64(binary.BigEndian.Uint64(r.Value)))
					latest = max(latest, versions[n])
				}
			}, WithLongPoll(5*time.Second))
			go func() { serveResults <- trackers[n].Serve(ctx) }()
		}
		// Heartbeats of the hosts that have a later version make the others resync.
		hint := func() {
			mutex.Lock()
			defer mutex.Unlock()
			for n, tr := range trackers {
				if versions[n] < latest {
					tr.Resync()
				}
			}
		}
		countBehind := func(version int64) int {
			mutex.Lock()
			defer mutex.Unlock()
			behind := 0
			for _, v := range versions {
				if v < version {
					behind++
				}
			}
			return behind
		}
		time.Sleep(limit)
		for version := int64(2); version <= 4; version++ {
			store.publish()
			for range limit / hintInterval {
				time.Sleep(hintInterval)
				hint()
			}
			if got := countBehind(version); got > 0 {
				t.Errorf("got %d of %d hosts without version %d after %s, want none", got, hosts, version, limit)
			}
		}
		cancel()
		for range hosts {
			<-serveResults
		}
	})
}

var _ Store = (*platform.StoreClient)(nil)
