package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
	standinplatform "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// testDescriptorsVariable holds the number of descriptors that a command of the test binary may
// open.
const testDescriptorsVariable = "FUCHSIAPITCH_TEST_DESCRIPTORS"

const (
	// crowdPeriod is the longest time for which a crowd writes. Clients whose host does not read
	// stop then and stay open.
	crowdPeriod = 5 * time.Second
	// answerTimeout ends a test whose host does not answer an ordinary request.
	answerTimeout = 10 * time.Second
	// completeShare is the share of the clients of a crowd that send their body to its end: one in
	// this number.
	completeShare = 8
)

// attack is what each client of a crowd sends.
type attack struct {
	// announcedBytes is the length that the header states, 0 for a body in chunks of chunkBytes.
	announcedBytes, chunkBytes int
	// sentBytes is how much of the body is sent, without the frames of the chunks. One client in
	// completeShare then sends the end, if endsBody is true. All others stay open.
	sentBytes int
	endsBody  bool
	// pieceBytes is how much of it is sent at once, with a pause after it.
	pieceBytes int
	pause      time.Duration
}

// attacksOn returns the attacks on a host whose limit for a body is limitBytes, by name.
func attacksOn(limitBytes int) map[string]attack {
	const smallChunkBytes = 8
	return map[string]attack{
		"Whole":       {announcedBytes: limitBytes, sentBytes: limitBytes - 1, endsBody: true, pieceBytes: limitBytes},
		"InPieces":    {announcedBytes: limitBytes, sentBytes: limitBytes - 1, endsBody: true, pieceBytes: limitBytes / 64, pause: 10 * time.Millisecond},
		"LargeChunks": {chunkBytes: limitBytes / 8, sentBytes: limitBytes, endsBody: true, pieceBytes: limitBytes},
		"SmallChunks": {chunkBytes: smallChunkBytes, sentBytes: limitBytes, endsBody: true, pieceBytes: limitBytes},
		"Announced":   {announcedBytes: 64 * limitBytes, sentBytes: 8 * limitBytes, pieceBytes: limitBytes},
		"JustSent":    {chunkBytes: limitBytes / 8, sentBytes: 8 * limitBytes, pieceBytes: limitBytes},
	}
}

// frame returns what a client sends at once.
func (a attack) frame() []byte {
	if a.chunkBytes == 0 {
		return bytes.Repeat([]byte("x"), a.pieceBytes)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", a.chunkBytes, strings.Repeat("x", a.chunkBytes))
	return bytes.Repeat([]byte(chunk), a.pieceBytes/a.chunkBytes)
}

// target is a host in a process of its own, with the bounds that hold for it.
type target struct {
	process       *exec.Cmd
	clientAddress string
	// operatorAddress is where the host says whether it is ready, peerAddress where it serves other
	// hosts.
	operatorAddress, peerAddress string
	// requestHead is the header of a request without the fields that frame its body.
	requestHead string
	// ordinary returns an ordinary request. Its body ends with paddingBytes without a meaning.
	ordinary     func(ctx context.Context) (*http.Request, error)
	paddingBytes int
	// memoryBytes bounds the memory of the process, with the bytes that it has not read from its
	// clients. sockets and descriptors bound those that it has open.
	memoryBytes, sockets, descriptors int
}

// usage is what a process uses. memoryBytes is its resident memory and the bytes that it has not
// read from its clients.
type usage struct{ memoryBytes, sockets, descriptors int }

// measure returns what the host uses now.
func (h *target) measure(t *testing.T) usage {
	t.Helper()
	u := usage{memoryBytes: h.memoryField(t, "VmRSS:") + h.unreadBytes(t)}
	folder := fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatalf("got error %v, want a running host", err)
	}
	u.descriptors = len(entries)
	for _, e := range entries {
		if name, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && strings.HasPrefix(name, "socket:") {
			u.sockets++
		}
	}
	return u
}

// memoryField returns a field of the memory of the process in bytes.
func (h *target) memoryField(t *testing.T, name string) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		t.Fatalf("got error %v, want a running host", err)
	}
	_, rest, found := strings.Cut(string(data), name)
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		t.Fatalf("got no field %s, want a running host", name)
	}
	kibibytes, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return kibibytes << 10
}

// unreadBytes returns the number of bytes in the receive queues of the connections of clients.
func (h *target) unreadBytes(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := strings.Cut(h.clientAddress, ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	const listening = "0A"
	total := 0
	for _, line := range strings.Split(string(data), "\n") {
		// Number, local address, remote address, state, send and receive queue.
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", number)) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			total += int(n)
		}
	}
	return total
}

// crowd is a number of clients that make the same attack.
type crowd struct {
	attack  attack
	target  *target
	clients int
	frame   []byte
	end     time.Time
	writers sync.WaitGroup
	readers sync.WaitGroup

	mutex       sync.Mutex
	connections []net.Conn
}

// startCrowd connects the clients and lets them write. The connections stay open until the test
// ends.
func startCrowd(t *testing.T, h *target, a attack, clients int) *crowd {
	t.Helper()
	c := &crowd{attack: a, target: h, clients: clients, frame: a.frame(), end: time.Now().Add(crowdPeriod)}
	for n := range clients {
		c.writers.Add(1)
		go func() {
			defer c.writers.Done()
			c.write(t.Context(), n)
		}()
	}
	t.Cleanup(func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		for _, connection := range c.connections {
			connection.Close()
		}
		c.readers.Wait()
	})
	return c
}

// write is one client. It ends when the host closes the connection or reads no further.
func (c *crowd) write(ctx context.Context, n int) {
	dialer := net.Dialer{Deadline: c.end}
	connection, err := dialer.DialContext(ctx, "tcp", c.target.clientAddress)
	if err != nil {
		return
	}
	c.mutex.Lock()
	c.connections = append(c.connections, connection)
	c.mutex.Unlock()
	c.readers.Add(1)
	go func() {
		defer c.readers.Done()
		io.Copy(io.Discard, connection)
	}()
	connection.SetWriteDeadline(c.end)
	head := fmt.Sprintf(c.target.requestHead, n)
	if c.attack.announcedBytes > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", c.attack.announcedBytes)
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(connection, head); err != nil {
		return
	}
	for sent := 0; sent < c.attack.sentBytes; sent += c.attack.pieceBytes {
		piece := c.frame
		if left := c.attack.sentBytes - sent; left < c.attack.pieceBytes {
			piece = piece[:left]
		}
		if _, err := connection.Write(piece); err != nil {
			return
		}
		time.Sleep(c.attack.pause)
	}
	if !c.attack.endsBody || n%completeShare != 0 {
		return
	}
	if c.attack.chunkBytes > 0 {
		io.WriteString(connection, "0\r\n\r\n")
	} else {
		io.WriteString(connection, "x")
	}
}

// await waits until all clients have ended or stopped, and returns the most that the host used.
func (c *crowd) await(t *testing.T) usage {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writers.Wait()
	}()
	var most usage
	for {
		u := c.target.measure(t)
		most = usage{memoryBytes: max(most.memoryBytes, u.memoryBytes), sockets: max(most.sockets, u.sockets), descriptors: max(most.descriptors, u.descriptors)}
		select {
		case <-done:
			return most
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// assertWithstands lets a crowd attack a host. It checks the bounds, and that an ordinary caller
// gets an answer while the crowd stays open.
func assertWithstands(t *testing.T, h *target, a attack, clients int) {
	t.Helper()
	most := startCrowd(t, h, a, clients).await(t)
	refusals, err := h.request(t)
	if err != nil {
		t.Errorf("got error %v, want an answer to an ordinary request", err)
	}
	h.assertBounds(t, most, refusals)
}

// assertBounds checks the most that the host has used. refusals is the number of those of the ordinary
// request.
func (h *target) assertBounds(t *testing.T, most usage, refusals int) {
	t.Helper()
	most.memoryBytes = max(most.memoryBytes, h.memoryField(t, "VmHWM:"))
	t.Logf("memory %d MiB, %d sockets, %d descriptors, %d refusals of the ordinary request", most.memoryBytes>>20, most.sockets, most.descriptors, refusals)
	if got, want := most.memoryBytes, h.memoryBytes; got > want {
		t.Errorf("got %d MiB of memory, want at most %d", got>>20, want>>20)
	}
	if got, want := most.sockets, h.sockets; got > want {
		t.Errorf("got %d open sockets, want at most %d", got, want)
	}
	if got, want := most.descriptors, h.descriptors; got > want {
		t.Errorf("got %d open descriptors, want at most %d", got, want)
	}
}

// UnansweredError reports that an ordinary request was not answered.
type UnansweredError struct {
	// Status is the last status, 0 for none. Err is the last error.
	Status int
	Err    error
}

// Error implements error.
func (e *UnansweredError) Error() string { return fmt.Sprintf("status %d, error %v", e.Status, e.Err) }

// request sends an ordinary request, and again after a refusal, until it is answered. It returns
// the number of refusals.
func (h *target) request(t *testing.T) (int, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	last := &UnansweredError{}
	for refusals := 0; ; refusals++ {
		request, err := h.ordinary(ctx)
		if err != nil {
			return refusals, err
		}
		response, err := client.Do(request)
		last.Err = err
		if err == nil {
			response.Body.Close()
			last.Status = response.StatusCode
			if response.StatusCode < http.StatusMultipleChoices {
				return refusals, nil
			}
		}
		select {
		case <-ctx.Done():
			return refusals, last
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// start starts the process and waits until it answers.
func (h *target) start(t *testing.T) {
	t.Helper()
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.process.Process.Kill()
		h.process.Wait()
	})
	if _, err := h.request(t); err != nil {
		t.Fatalf("got error %v, want a host that serves", err)
	}
}

// startPlatformTarget starts a host of the users' platform with lowered limits.
func startPlatformTarget(t *testing.T) *target {
	t.Helper()
	const memoryMB, descriptors = 96, 400
	return startLimitedPlatformTarget(t, memoryMB, descriptors)
}

// startLimitedPlatformTarget starts a host of the users' platform.
func startLimitedPlatformTarget(t *testing.T, memoryMB, descriptors int) *target {
	t.Helper()
	const fileDescriptors = 200
	installation, stop, err := standinplatform.StartInstallation()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	installation.Store.PublishConfiguration(withBodyLimit(t, standinplatform.Configuration(2), platformBodyBytes))
	path, clientAddress, readinessAddress, err := installation.WriteSettings(t.TempDir(), "h0")
	if err != nil {
		t.Fatal(err)
	}
	writeLimits(t, path, map[string]any{"memory_mb": memoryMB, "max_fds": descriptors})
	settings, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	h := &target{
		process: newTestProcess(t, "serve"), clientAddress: clientAddress,
		operatorAddress: readinessAddress, peerAddress: net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
		memoryBytes: memoryMB << 20, sockets: descriptors - fileDescriptors, descriptors: descriptors,
		requestHead: "POST " + standinplatform.BookPathPrefix + "x HTTP/1.1\r\nHost: " + standinplatform.HostName + "\r\nX-Request-Id: crowd-%d\r\n" +
			"X-Credential: " + standinplatform.APIKey + "\r\nX-Deadline-Ms: 20000\r\n",
	}
	h.process.Env = append(h.process.Env, platform.SettingsVariable+"="+path)
	requests := 0
	h.ordinary = func(ctx context.Context) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+clientAddress+standinplatform.BookPathPrefix+"x", strings.NewReader("furnace 7"+strings.Repeat(" ", h.paddingBytes)))
		if err != nil {
			return nil, err
		}
		requests++
		r.Host = standinplatform.HostName
		r.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", requests))
		r.Header.Set("X-Credential", standinplatform.APIKey)
		r.Header.Set("X-Deadline-Ms", "5000")
		return r, nil
	}
	h.start(t)
	return h
}

// withBodyLimit returns a configuration with another limit for bodies.
func withBodyLimit(t *testing.T, configuration []byte, limitBytes int) []byte {
	t.Helper()
	var content map[string]any
	if err := json.Unmarshal(configuration, &content); err != nil {
		t.Fatal(err)
	}
	content["limits"].(map[string]any)["max_body_bytes"] = limitBytes
	data, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// writeLimits replaces the limits in a settings file of the platform.
func writeLimits(t *testing.T, path string, limits map[string]any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var content map[string]any
	if err := json.Unmarshal(data, &content); err != nil {
		t.Fatal(err)
	}
	content["limits"] = limits
	if data, err = json.Marshal(content); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startOwnTarget starts a host with the product's own interface and lowered limits.
func startOwnTarget(t *testing.T) *target {
	t.Helper()
	const runtimeMiB, descriptors = 96, 160
	return startLimitedOwnTarget(t, runtimeMiB, descriptors, "")
}

// startLimitedOwnTarget starts a host with the product's own interface. The machine is said to have
// twice the memory that the Go runtime is told to use. tlsSettings is a part of the settings file.
func startLimitedOwnTarget(t *testing.T, runtimeMiB, descriptors int, tlsSettings string) *target {
	t.Helper()
	fleet, stop, err := standin.Start(standin.WithApplications(demoApplicationService, demoApplicationServers), standin.WithEngines(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	publishDemoDocuments(t, fleet.LogAddress("dc-a"))
	addresses := unusedAddresses(t, 3)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	settings := "host: host-a\ndata-centre: dc-a\nregion: region-a\nlinger: 200ms\n" +
		"listen: {callers: " + addresses[0] + ", peers: " + addresses[1] + ", operators: " + addresses[2] + "}\n" +
		"log-address: " + fleet.LogAddress("dc-a") + "\nhost-list-address: " + fleet.HostListAddress() + "\nweight-store-address: " + fleet.WeightStoreAddress() + "\n" + tlsSettings
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	bookings := "/services/" + string(demoApplicationService) + "/bookings"
	h := &target{
		process: newTestProcess(t, "serve", "--settings", path), clientAddress: addresses[0], operatorAddress: addresses[2], peerAddress: addresses[1],
		memoryBytes: 2 * runtimeMiB << 20, sockets: descriptors, descriptors: descriptors,
		requestHead: "POST " + bookings + " HTTP/1.1\r\nHost: x\r\nIdempotency-Key: crowd-%d\r\nAuthorization: Bearer " + demoAPIKey + "\r\n",
	}
	h.process.Env = append(h.process.Env, fmt.Sprintf("GOMEMLIMIT=%dMiB", runtimeMiB), fmt.Sprintf("%s=%d", testDescriptorsVariable, descriptors))
	requests, scheme := 0, "http://"
	if tlsSettings != "" {
		scheme = "https://"
	}
	h.ordinary = func(ctx context.Context) (*http.Request, error) {
		requests++
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+addresses[0]+bookings, strings.NewReader(fmt.Sprintf(`{"reference":"furnace-%d"}`, requests)+strings.Repeat(" ", h.paddingBytes)))
		if err != nil {
			return nil, err
		}
		r.Header.Set("Authorization", "Bearer "+demoAPIKey)
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Idempotency-Key", fmt.Sprintf("ordinary-%d", requests))
		return r, nil
	}
	h.start(t)
	return h
}

func publishDemoDocuments(t *testing.T, logAddress string) {
	t.Helper()
	documents, err := loader.DecodeDocuments("demo", demoDocuments)
	if err != nil {
		t.Fatal(err)
	}
	log, closeLog := recorder.New(logAddress)
	defer closeLog()
	if _, err := publisher.New(log, "demo").Publish(t.Context(), documents); err != nil {
		t.Fatal(err)
	}
}

// setTestDescriptorLimit sets the limit of testDescriptorsVariable.
func setTestDescriptorLimit() error {
	text := os.Getenv(testDescriptorsVariable)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return err
	}
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
}

const (
	// platformBodyBytes and ownBodyBytes are the limits of a body, platformCrowd and ownCrowd
	// the numbers of clients.
	platformBodyBytes, ownBodyBytes = 512 << 10, 8 << 20
	platformCrowd, ownCrowd         = 256, 96
)

func assertPlatformWithstands(t *testing.T, name string) {
	t.Helper()
	assertWithstands(t, startPlatformTarget(t), attacksOn(platformBodyBytes)[name], platformCrowd)
}

func assertOwnWithstands(t *testing.T, name string) {
	t.Helper()
	assertWithstands(t, startOwnTarget(t), attacksOn(ownBodyBytes)[name], ownCrowd)
}

func TestPlatformWithstandsBodiesWhole(t *testing.T)    { assertPlatformWithstands(t, "Whole") }
func TestPlatformWithstandsBodiesInPieces(t *testing.T) { assertPlatformWithstands(t, "InPieces") }

func TestPlatformWithstandsBodiesLargeChunks(t *testing.T) {
	assertPlatformWithstands(t, "LargeChunks")
}

func TestPlatformWithstandsBodiesSmallChunks(t *testing.T) {
	assertPlatformWithstands(t, "SmallChunks")
}

func TestPlatformWithstandsBodiesAnnounced(t *testing.T) { assertPlatformWithstands(t, "Announced") }

func TestPlatformWithstandsBodiesJustSent(t *testing.T) { assertPlatformWithstands(t, "JustSent") }
func TestOwnWithstandsBodiesWhole(t *testing.T)         { assertOwnWithstands(t, "Whole") }
func TestOwnWithstandsBodiesInPieces(t *testing.T)      { assertOwnWithstands(t, "InPieces") }
func TestOwnWithstandsBodiesLargeChunks(t *testing.T)   { assertOwnWithstands(t, "LargeChunks") }
func TestOwnWithstandsBodiesSmallChunks(t *testing.T)   { assertOwnWithstands(t, "SmallChunks") }
func TestOwnWithstandsBodiesAnnounced(t *testing.T)     { assertOwnWithstands(t, "Announced") }
func TestOwnWithstandsBodiesJustSent(t *testing.T)      { assertOwnWithstands(t, "JustSent") }
