package sender_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/hasty"
)

// pacedBody is a request body of zeros that pauses once after its first bytes, as a writer does that gets no
// processor time.
type pacedBody struct {
	left, untilPause int
	pause            time.Duration
}

// Read implements io.Reader.
func (b *pacedBody) Read(data []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.untilPause == 0 {
		time.Sleep(b.pause)
		b.untilPause = b.left
	}
	n := min(len(data), b.left, b.untilPause)
	clear(data[:n])
	b.left -= n
	b.untilPause -= n
	return n, nil
}

// pacedForm is a size of a request, and where its writer pauses.
type pacedForm struct {
	bytes, untilPause int
	pause             time.Duration
}

// String implements fmt.Stringer.
func (f pacedForm) String() string {
	return fmt.Sprintf("%d bytes, %v after %d", f.bytes, f.pause, f.untilPause)
}

// pacedForms have pauses that are longer than a server takes to end its connection, one of them longer than a
// reset of a connection with unacknowledged bytes is waited for.
func pacedForms() []pacedForm {
	return []pacedForm{
		{bytes: 24 << 10, untilPause: 8 << 10, pause: 20 * time.Millisecond},
		{bytes: 24 << 10, untilPause: 24<<10 - 1, pause: 20 * time.Millisecond},
		{bytes: 256 << 10, untilPause: 4 << 10, pause: 20 * time.Millisecond},
		{bytes: 256 << 10, untilPause: 128 << 10, pause: 400 * time.Millisecond},
		{bytes: longBodyBytes, untilPause: 1 << 20, pause: 20 * time.Millisecond},
	}
}

// exchangePaced sends a request whose writer pauses and returns the body of the response, and the error of its end.
func exchangePaced(t *testing.T, s *sender.Sender, address string, f pacedForm) (string, error) {
	t.Helper()
	body := &pacedBody{left: f.bytes, untilPause: f.untilPause, pause: f.pause}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", io.NopCloser(body))
	assertNoError(t, err, "request")
	r.ContentLength = int64(f.bytes)
	response, _, err := s.Exchange(r, time.Now().Add(10*time.Second))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return string(got), err
}

// Guards against a part of a response that counts as complete, since its server closed the connection between two
// writes of the request, when all bytes were acknowledged.
func TestCutResponseBetweenWrites(t *testing.T) {
	for _, f := range pacedForms() {
		for _, framing := range hasty.Framings() {
			for _, end := range []hasty.End{hasty.Reset, hasty.Close} {
				t.Run(f.String()+", "+string(framing)+", "+string(end), func(t *testing.T) {
					t.Parallel()
					address := startHasty(t, hasty.Server{Response: hasty.Frame(framing, earlyHeader, earlyBody, 4), End: end, Reads: hasty.ReadsArrived})
					if body, err := exchangePaced(t, newTestSender(t), address, f); err == nil {
						t.Errorf("got %q as a complete response, want an error", body)
					}
				})
			}
		}
	}
}

// Guards against a whole response that is lost, or waits for the end of its request, since its server ended its side
// between two writes of the request and reads on.
func TestWholeResponseBetweenWrites(t *testing.T) {
	for _, f := range pacedForms() {
		for _, reading := range []hasty.Reading{hasty.ReadsNothing, hasty.ReadsArrived} {
			t.Run(f.String()+", "+string(reading), func(t *testing.T) {
				t.Parallel()
				address := startHasty(t, hasty.Server{Response: hasty.Frame(hasty.Unframed, earlyHeader, earlyBody, len(earlyBody)), End: hasty.HalfClose, Reads: reading})
				if body, err := exchangePaced(t, newTestSender(t), address, f); err != nil || body != earlyBody {
					t.Errorf("got %q and error %v, want %q", body, err, earlyBody)
				}
			})
		}
	}
}

// Guards against a host that gives up a sound server, whose response began between two writes of the request, when
// all bytes were acknowledged, and that reads on after the silence time-out.
func TestServerThatReadsOnAfterPauseIsNotGivenUp(t *testing.T) {
	const silenceTimeout = 200 * time.Millisecond
	for _, f := range pacedForms() {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			address := startHasty(t, hasty.Server{Response: hasty.Frame(hasty.Length, earlyHeader, earlyBody, 4), Rest: earlyBody[4:], Pause: 10 * silenceTimeout})
			if body, err := exchangePaced(t, newTestSender(t, sender.WithSilenceTimeout(silenceTimeout)), address, f); err != nil || body != earlyBody {
				t.Errorf("got %q and error %v, want %q", body, err, earlyBody)
			}
		})
	}
}
