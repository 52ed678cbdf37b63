package publisher

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// transferTime is the time of a transfer that progresses: a batch of 64 MB needs 26 s
// at 20 Mbit/s.
const transferTime = 26 * time.Second

// slowLog is a log behind a slow link.
type slowLog struct {
	*fakeLog
	reads, appends int
}

// transfer takes transferTime, unless its context ends first.
func transfer(ctx context.Context) error {
	select {
	case <-time.After(transferTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *slowLog) Append(ctx context.Context, stream fuchsiapitch.StreamName, r fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	l.appends++
	if err := transfer(ctx); err != nil {
		return 0, &fuchsiapitch.UncertainAppendError{Stream: stream, Record: r.ID(), Err: err}
	}
	return l.fakeLog.Append(ctx, stream, r)
}

func (l *slowLog) Read(ctx context.Context, stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, limit int) (fuchsiapitch.Batch, error) {
	l.reads++
	if err := transfer(ctx); err != nil {
		return fuchsiapitch.Batch{}, &fuchsiapitch.UnavailableError{System: "log", Action: "read", Err: err}
	}
	return l.fakeLog.Read(ctx, stream, from, limit)
}

// A transfer that is cancelled begins again at its first byte and never ends. A
// publication over a slow link takes one read, one append and one read back.
func TestSlowTransferIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{fakeLog: newFakeLog()}
		ctx, cancel := context.WithTimeout(t.Context(), 10*transferTime)
		defer cancel()
		result, err := New(log, "operator").Publish(ctx, parse(t, rankYAML("a", 1, 0.1)))
		if err != nil {
			t.Fatalf("publish: got error %v after %d reads and %d appends, want none", err, log.reads, log.appends)
		}
		if result.Status != Accepted || log.reads != 2 || log.appends != 1 {
			t.Errorf("got %v after %d reads and %d appends, want %v after 2 and 1", result.Status, log.reads, log.appends, Accepted)
		}
	})
}

// slowStatus responds to each request with a status of a number of bytes, which takes
// transferTime.
type slowStatus struct{ statusBytes, requests int }

// RoundTrip implements http.RoundTripper.
func (s *slowStatus) RoundTrip(request *http.Request) (*http.Response, error) {
	s.requests++
	const pieces = 26
	status := `{"host":"h1","configuration-offset":7}`
	status = strings.Repeat(" ", s.statusBytes-len(status)) + status
	body := &slowBody{ctx: request.Context(), remaining: status, pieceBytes: len(status)/pieces + 1, interval: transferTime / pieces}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
}

type slowBody struct {
	ctx        context.Context
	remaining  string
	pieceBytes int
	interval   time.Duration
	// pieceRemaining is the number of bytes of the current piece that are still unread.
	pieceRemaining int
}

// Read implements io.Reader.
func (b *slowBody) Read(buffer []byte) (int, error) {
	if b.pieceRemaining == 0 {
		select {
		case <-time.After(b.interval):
			b.pieceRemaining = b.pieceBytes
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	n, err := strings.NewReader(b.remaining).Read(buffer[:min(len(buffer), b.pieceRemaining)])
	b.remaining, b.pieceRemaining = b.remaining[n:], b.pieceRemaining-n
	return n, err
}

// waitForStatus waits at most ten times the transferTime for a host.
func waitForStatus(t *testing.T, host *slowStatus) HostStatus {
	t.Helper()
	w := NewWaiter([]string{"http://h1"})
	w.client = &http.Client{Transport: host}
	ctx, cancel := context.WithTimeout(t.Context(), 10*transferTime)
	defer cancel()
	return w.Wait(ctx, 7)[0]
}

// A status that is cancelled is requested again, and never read to its end.
func TestSlowStatusIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := &slowStatus{statusBytes: 512 << 10}
		status := waitForStatus(t, host)
		if !status.InForce || host.requests != 1 {
			t.Errorf("got %+v after %d requests, want the offset in force after 1", status, host.requests)
		}
	})
}

// A status whose bytes drip is cancelled, since its size alone would bound it to weeks.
func TestDrippingStatusIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := &slowStatus{statusBytes: 1 << 10}
		status := waitForStatus(t, host)
		// Each request may take the time-out until its first byte, and again after it.
		if want := int(10 * transferTime / (2*statusTimeout + pollInterval)); status.InForce || host.requests < want {
			t.Errorf("got %+v after %d requests, want a failure after at least %d", status, host.requests, want)
		}
	})
}
