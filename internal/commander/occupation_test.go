package commander

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	standinplatform "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// settlePeriod is how long the clients of an occupation hold their places before the ordinary request
// is sent.
const settlePeriod = time.Second

// occupation is what each client of a crowd does to keep a place at a host. It goes on until the
// test ends.
type occupation struct {
	// address is that of the listener, "" for the one for clients.
	address string
	// tlsConfig is that of the connection, nil if it is not encrypted.
	tlsConfig *tls.Config
	// start is sent first. piece is then sent again and again with a pause after it; it is empty if
	// nothing follows.
	start func(n int) string
	piece []byte
	pause time.Duration
	// ignoresAnswers is true if the client reads nothing.
	ignoresAnswers bool
	// returns is true if the client connects again when the host has closed its connection.
	returns bool
}

// smallReceiveBuffer makes a connection hold few bytes that the client has not read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(descriptor uintptr) {
		err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// run is one client.
func (o occupation) run(ctx context.Context, n int, started func()) {
	for {
		o.runOnce(ctx, n, started)
		if !o.returns {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// runOnce is one connection of a client, until the host closes it or the context ends.
func (o occupation) runOnce(ctx context.Context, n int, started func()) {
	defer started()
	dialer := net.Dialer{}
	if o.ignoresAnswers {
		dialer.Control = smallReceiveBuffer
	}
	connection, err := dialer.DialContext(ctx, "tcp", o.address)
	if err != nil {
		return
	}
	if o.tlsConfig != nil {
		connection = tls.Client(connection, o.tlsConfig)
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()
	go func() {
		defer close(closed)
		if o.ignoresAnswers {
			<-ctx.Done()
			return
		}
		io.Copy(io.Discard, connection)
		connection.Close()
	}()
	if _, err := io.WriteString(connection, o.start(n)); err != nil {
		<-closed
		return
	}
	started()
	for len(o.piece) > 0 {
		if _, err := connection.Write(o.piece); err != nil {
			break
		}
		select {
		case <-closed:
			return
		case <-time.After(o.pause):
		}
	}
	<-closed
}

// startOccupation starts the clients, and returns when each has sent its first bytes. They go on
// until the test ends.
func startOccupation(t *testing.T, h *target, o occupation, clients int) {
	t.Helper()
	if o.address == "" {
		o.address = h.clientAddress
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running, starting sync.WaitGroup
	for n := range clients {
		running.Add(1)
		starting.Add(1)
		go func() {
			defer running.Done()
			o.run(ctx, n, sync.OnceFunc(starting.Done))
		}()
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	startedAll := make(chan struct{})
	go func() {
		defer close(startedAll)
		starting.Wait()
	}()
	select {
	case <-startedAll:
	case <-time.After(crowdPeriod):
	}
}

// assertServesBeside checks that a host answers an ordinary request while clients keep places, and
// stays within its bounds all the while.
func assertServesBeside(t *testing.T, h *target, o occupation, clients int) {
	t.Helper()
	startOccupation(t, h, o, clients)
	c := &crowd{target: h}
	c.writers.Add(1)
	refusals, requestErr := 0, error(nil)
	go func() {
		defer c.writers.Done()
		time.Sleep(settlePeriod)
		refusals, requestErr = h.request(t)
	}()
	most := c.await(t)
	if requestErr != nil {
		t.Errorf("got error %v, want an answer to an ordinary request", requestErr)
	}
	if o.address != "" {
		assertOperatorsServed(t, h)
	}
	h.assertBounds(t, most, refusals)
}

// assertOperatorsServed checks that a host says whether it is ready, within the time for the answer to
// an ordinary request.
func assertOperatorsServed(t *testing.T, h *target) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operatorAddress+"/readyz", nil)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Errorf("got error %v, want an answer of the host for operators", err)
		return
	}
	response.Body.Close()
	if got, want := response.StatusCode, http.StatusOK; got != want {
		t.Errorf("got status %d for operators, want %d", got, want)
	}
}

const (
	// trickleBytes is what a client whose body comes slowly sends in each tricklePause. The body is
	// not complete before the time limit of the request, and needs little memory.
	trickleBytes, tricklePause = 1280, 500 * time.Millisecond
	// unusedKey is a key that no customer holds.
	unusedKey = "unused"
)

// chunks returns a piece of a body in chunks of some size.
func chunks(chunkBytes, totalBytes int) []byte {
	return attack{chunkBytes: chunkBytes, pieceBytes: totalBytes}.frame()
}

// occupationsOf returns the occupations that a host must bear, by name. limitBytes is its limit for a
// body.
func occupationsOf(h *target, limitBytes int) map[string]occupation {
	head := func(n int) string { return fmt.Sprintf(h.requestHead, n) }
	announced := func(n int) string { return head(n) + fmt.Sprintf("Content-Length: %d\r\n\r\n", limitBytes) }
	chunked := func(n int) string { return head(n) + "Transfer-Encoding: chunked\r\n\r\n" }
	unfinished := func(request string) func(int) string {
		return func(int) string { return request + "Content-Length: 1000\r\n\r\nx" }
	}
	const absent = "GET /absent/x HTTP/1.1\r\nHost: absent\r\n\r\n"
	return map[string]occupation{
		"SlowWholeBodies":   {start: announced, piece: bytes.Repeat([]byte("x"), trickleBytes), pause: tricklePause},
		"SlowLargeChunks":   {start: chunked, piece: chunks(trickleBytes, trickleBytes), pause: tricklePause},
		"SlowSmallChunks":   {start: chunked, piece: chunks(8, trickleBytes), pause: tricklePause},
		"SlowBodiesInTurns": {start: chunked, piece: chunks(8, trickleBytes), pause: tricklePause, returns: true},
		"UnknownRoutes":     {start: unfinished("POST /absent/x HTTP/1.1\r\nHost: absent\r\n")},
		"UnknownKeys":       {start: unfinished(fmt.Sprintf(strings.NewReplacer(standinplatform.APIKey, unusedKey, demoAPIKey, unusedKey).Replace(h.requestHead), 1))},
		"LargeHeaders":      {start: unfinished(head(1) + "X-Filling: " + strings.Repeat("x", 50<<10) + "\r\n")},
		"UnreadAnswers":     {start: func(int) string { return absent }, piece: []byte(strings.Repeat(absent, 50)), ignoresAnswers: true},
		"Silence":           {start: func(int) string { return "" }},
		"SlowHeaders":       {start: head, piece: []byte("X-A: b\r\n"), pause: tricklePause},
		"Idleness":          {start: func(int) string { return absent }},
		"OperatorsSilence":  {address: h.operatorAddress, start: func(int) string { return "" }},
		"OperatorsIdleness": {address: h.operatorAddress, start: func(int) string { return absent }},
		"OperatorsBodies":   {address: h.operatorAddress, start: unfinished("POST /livez HTTP/1.1\r\nHost: x\r\n")},
		"PeersSilence":      {address: h.peerAddress, start: func(int) string { return "" }},
	}
}

// startedBodies returns the occupation by bodies of which a part arrives at once and the rest slowly.
func startedBodies(h *target, limitBytes int) occupation {
	const startedBytes = 256 << 10
	o := occupationsOf(h, limitBytes)["SlowWholeBodies"]
	start := o.start
	o.start = func(n int) string { return start(n) + strings.Repeat("x", startedBytes) }
	return o
}

// The crowds are a few times the connections that the host may have. That of idle clients is larger,
// since each makes room faster than the others.
const occupants, idleOccupants = 256, 1000

func assertPlatformServesBeside(t *testing.T, name string, clients int) {
	t.Helper()
	h := startPlatformTarget(t)
	assertServesBeside(t, h, occupationsOf(h, platformBodyBytes)[name], clients)
}

func assertOwnServesBeside(t *testing.T, name string, clients int) {
	t.Helper()
	h := startOwnTarget(t)
	assertServesBeside(t, h, occupationsOf(h, ownBodyBytes)[name], clients)
}

func TestPlatformServesBesideSlowWholeBodies(t *testing.T) {
	assertPlatformServesBeside(t, "SlowWholeBodies", occupants)
}

func TestPlatformServesBesideSlowLargeChunks(t *testing.T) {
	assertPlatformServesBeside(t, "SlowLargeChunks", occupants)
}

func TestPlatformServesBesideSlowSmallChunks(t *testing.T) {
	assertPlatformServesBeside(t, "SlowSmallChunks", occupants)
}

func TestPlatformServesBesideSlowBodiesInTurns(t *testing.T) {
	assertPlatformServesBeside(t, "SlowBodiesInTurns", occupants)
}

func TestPlatformServesBesideUnknownRoutes(t *testing.T) {
	assertPlatformServesBeside(t, "UnknownRoutes", occupants)
}

func TestPlatformServesBesideUnknownKeys(t *testing.T) {
	assertPlatformServesBeside(t, "UnknownKeys", occupants)
}

func TestPlatformServesBesideLargeHeaders(t *testing.T) {
	assertPlatformServesBeside(t, "LargeHeaders", occupants)
}

func TestPlatformServesBesideUnreadAnswers(t *testing.T) {
	assertPlatformServesBeside(t, "UnreadAnswers", occupants)
}

func TestPlatformServesBesideSilence(t *testing.T) {
	assertPlatformServesBeside(t, "Silence", occupants)
}

func TestPlatformServesBesideSlowHeaders(t *testing.T) {
	assertPlatformServesBeside(t, "SlowHeaders", occupants)
}

func TestPlatformServesBesideIdleness(t *testing.T) {
	assertPlatformServesBeside(t, "Idleness", idleOccupants)
}

func TestPlatformServesBesideOperatorsSilence(t *testing.T) {
	assertPlatformServesBeside(t, "OperatorsSilence", occupants)
}

func TestPlatformServesBesideOperatorsIdleness(t *testing.T) {
	assertPlatformServesBeside(t, "OperatorsIdleness", occupants)
}

func TestPlatformServesBesideOperatorsBodies(t *testing.T) {
	assertPlatformServesBeside(t, "OperatorsBodies", occupants)
}

func TestPlatformServesBesidePeersSilence(t *testing.T) {
	assertPlatformServesBeside(t, "PeersSilence", occupants)
}

func TestOwnServesBesideSlowWholeBodies(t *testing.T) {
	assertOwnServesBeside(t, "SlowWholeBodies", occupants)
}

func TestOwnServesBesideSlowLargeChunks(t *testing.T) {
	assertOwnServesBeside(t, "SlowLargeChunks", occupants)
}

func TestOwnServesBesideSlowSmallChunks(t *testing.T) {
	assertOwnServesBeside(t, "SlowSmallChunks", occupants)
}

func TestOwnServesBesideSlowBodiesInTurns(t *testing.T) {
	assertOwnServesBeside(t, "SlowBodiesInTurns", occupants)
}

func TestOwnServesBesideUnknownRoutes(t *testing.T) {
	assertOwnServesBeside(t, "UnknownRoutes", occupants)
}

func TestOwnServesBesideUnknownKeys(t *testing.T) {
	assertOwnServesBeside(t, "UnknownKeys", occupants)
}

func TestOwnServesBesideLargeHeaders(t *testing.T) {
	assertOwnServesBeside(t, "LargeHeaders", occupants)
}

func TestOwnServesBesideUnreadAnswers(t *testing.T) {
	assertOwnServesBeside(t, "UnreadAnswers", occupants)
}

func TestOwnServesBesideSilence(t *testing.T) {
	assertOwnServesBeside(t, "Silence", occupants)
}

func TestOwnServesBesideSlowHeaders(t *testing.T) {
	assertOwnServesBeside(t, "SlowHeaders", occupants)
}

func TestOwnServesBesideIdleness(t *testing.T) {
	assertOwnServesBeside(t, "Idleness", idleOccupants)
}

func TestOwnServesBesideOperatorsSilence(t *testing.T) {
	assertOwnServesBeside(t, "OperatorsSilence", occupants)
}

func TestOwnServesBesideOperatorsIdleness(t *testing.T) {
	assertOwnServesBeside(t, "OperatorsIdleness", occupants)
}

func TestOwnServesBesideOperatorsBodies(t *testing.T) {
	assertOwnServesBeside(t, "OperatorsBodies", occupants)
}

func TestOwnServesBesidePeersSilence(t *testing.T) {
	assertOwnServesBeside(t, "PeersSilence", occupants)
}

const (
	// memoryHolders is the number of clients whose bodies take memory, fewer than a host may have
	// connections. largeBytes is the size of an ordinary body that needs memory as well.
	memoryHolders, largeBytes = 48, 100 << 10
	// headerHolders is the number of clients with large headers, more than a host with descriptors
	// for all of them may have connections.
	headerHolders, manyDescriptors = 1024, 4200
)

func TestPlatformServesLargeBodyBesideSlowOnes(t *testing.T) {
	h := startPlatformTarget(t)
	h.paddingBytes = largeBytes
	assertServesBeside(t, h, startedBodies(h, platformBodyBytes), memoryHolders)
}

func TestOwnServesLargeBodyBesideSlowOnes(t *testing.T) {
	const runtimeMiB, descriptors = 32, 160
	h := startLimitedOwnTarget(t, runtimeMiB, descriptors, "")
	h.paddingBytes = largeBytes
	assertServesBeside(t, h, startedBodies(h, ownBodyBytes), memoryHolders)
}

// unfinishedHeaders returns the occupation by headers of which nearly as much arrives as a host reads.
func unfinishedHeaders(h *target) occupation {
	return occupation{start: func(n int) string { return fmt.Sprintf(h.requestHead, n) + "X-Filling: " + strings.Repeat("x", 60<<10) }}
}

// legalHeaders returns the occupation by headers just below the limit of the stand-in's configuration, and
// more of a body than the host reads without memory for it.
func legalHeaders(h *target, limitBytes int) occupation {
	const headerBytes, startedBytes = 15 << 10, 80 << 10
	return occupation{start: func(n int) string {
		return fmt.Sprintf(h.requestHead, n) + "X-Filling: " + strings.Repeat("x", headerBytes) +
			fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", limitBytes) + strings.Repeat("x", startedBytes)
	}}
}

func TestPlatformBoundsMemoryOfHeaders(t *testing.T) {
	const memoryMB = 96
	t.Run("with a body that does not come", func(t *testing.T) {
		h := startLimitedPlatformTarget(t, memoryMB, manyDescriptors)
		assertServesBeside(t, h, occupationsOf(h, platformBodyBytes)["LargeHeaders"], headerHolders)
	})
	t.Run("without an end", func(t *testing.T) {
		h := startLimitedPlatformTarget(t, memoryMB, manyDescriptors)
		assertServesBeside(t, h, unfinishedHeaders(h), headerHolders)
	})
	t.Run("of legal size, with a part of a body", func(t *testing.T) {
		h := startLimitedPlatformTarget(t, memoryMB, manyDescriptors)
		assertServesBeside(t, h, legalHeaders(h, platformBodyBytes), headerHolders)
	})
}

func TestOwnBoundsMemoryOfHeaders(t *testing.T) {
	const runtimeMiB = 48
	t.Run("with a body that does not come", func(t *testing.T) {
		h := startLimitedOwnTarget(t, runtimeMiB, manyDescriptors, "")
		assertServesBeside(t, h, occupationsOf(h, ownBodyBytes)["LargeHeaders"], headerHolders)
	})
	t.Run("without an end", func(t *testing.T) {
		h := startLimitedOwnTarget(t, runtimeMiB, manyDescriptors, "")
		assertServesBeside(t, h, unfinishedHeaders(h), headerHolders)
	})
}

// assertServesPoorLine sends a body of the largest size in small pieces to a host that has no other
// clients.
func assertServesPoorLine(t *testing.T, h *target, limitBytes int) {
	t.Helper()
	const pieces, pause = 64, 100 * time.Millisecond
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", h.clientAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, h.requestHead+"Content-Length: %d\r\n\r\n", 0, limitBytes)
	body := append([]byte(`{"reference":"poor-line"}`), bytes.Repeat([]byte(" "), limitBytes)...)[:limitBytes]
	for n := range pieces {
		if _, err := connection.Write(body[n*limitBytes/pieces : (n+1)*limitBytes/pieces]); err != nil {
			t.Fatalf("got error %v after %d pieces, want a host that reads", err, n)
		}
		time.Sleep(pause)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatalf("got error %v, want a response", err)
	}
	defer response.Body.Close()
	if got, want := response.StatusCode, http.StatusMultipleChoices; got >= want {
		text, _ := io.ReadAll(response.Body)
		t.Errorf("got status %d and %q, want a success", got, text)
	}
}

func TestPlatformServesPoorLine(t *testing.T) {
	assertServesPoorLine(t, startPlatformTarget(t), platformBodyBytes)
}

func TestOwnServesPoorLine(t *testing.T) {
	// The stand-in of the application reads no larger body.
	const limitBytes = 1 << 20
	assertServesPoorLine(t, startOwnTarget(t), limitBytes)
}

// assertStopsBeside checks that a host ends after a signal while clients keep places.
func assertStopsBeside(t *testing.T, h *target, o occupation) {
	t.Helper()
	const clients, stopTimeout = 16, time.Minute
	startOccupation(t, h, o, clients)
	time.Sleep(settlePeriod)
	signalProcess(t, h.process, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- h.process.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("got error %v, want exit code 0", err)
		}
	case <-time.After(stopTimeout):
		t.Errorf("got a host that runs %s after the signal, want its end", stopTimeout)
	}
}

func TestOwnStopsBesideUnknownRoutes(t *testing.T) {
	h := startOwnTarget(t)
	assertStopsBeside(t, h, occupationsOf(h, ownBodyBytes)["UnknownRoutes"])
}

func TestOwnStopsBesideUnreadAnswers(t *testing.T) {
	h := startOwnTarget(t)
	assertStopsBeside(t, h, occupationsOf(h, ownBodyBytes)["UnreadAnswers"])
}

func TestOwnStopsBesideMultiplexedUnreadAnswers(t *testing.T) {
	const runtimeMiB, descriptors = 96, 160
	h := startLimitedOwnTarget(t, runtimeMiB, descriptors, writeTestCertificate(t))
	assertStopsBeside(t, h, multiplexedOccupations()["UnreadAnswers"])
}

func TestPlatformStopsBesideUnknownRoutes(t *testing.T) {
	h := startPlatformTarget(t)
	assertStopsBeside(t, h, occupationsOf(h, platformBodyBytes)["UnknownRoutes"])
}

func TestPlatformStopsBesideUnreadAnswers(t *testing.T) {
	h := startPlatformTarget(t)
	assertStopsBeside(t, h, occupationsOf(h, platformBodyBytes)["UnreadAnswers"])
}
