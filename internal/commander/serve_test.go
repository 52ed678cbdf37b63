package commander

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// testCommandVariable makes the test binary run a command instead of the tests. It holds the
// arguments of the command, one a line.
const testCommandVariable = "FUCHSIAPITCH_TEST_COMMAND"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(testCommandVariable); arguments != "" {
		if err := setTestDescriptorLimit(); err != nil {
			panic(err)
		}
		os.Exit(Run(context.Background(), Streams{Stdout: os.Stdout, Stderr: os.Stderr}, strings.Split(arguments, "\n")))
	}
	os.Exit(m.Run())
}

// newTestProcess returns a process that runs a command.
func newTestProcess(t *testing.T, arguments ...string) *exec.Cmd {
	t.Helper()
	process := exec.CommandContext(t.Context(), os.Args[0])
	process.Env = append(os.Environ(), testCommandVariable+"="+strings.Join(arguments, "\n"))
	return process
}

func signalProcess(t *testing.T, process *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := process.Process.Signal(signal); err != nil {
		t.Fatalf("got error %v, want a running process", err)
	}
}

// assertExit checks the exit code of a process, which is -1 after a signal has ended it.
func assertExit(t *testing.T, process *exec.Cmd, want int) {
	t.Helper()
	process.Wait()
	if got := process.ProcessState.ExitCode(); got != want {
		t.Errorf("got %s, want exit code %d", process.ProcessState, want)
	}
}

// Guards against a SIGHUP that ends a host, and with it the requests in flight, before the
// host handles signals.
func TestReloadSignalDuringStart(t *testing.T) {
	for _, test := range []struct{ name, variable string }{
		{name: "own interface"},
		{name: "platform", variable: platform.SettingsVariable},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			process := newTestProcess(t, "serve", "--settings", path)
			if test.variable != "" {
				process.Env = append(process.Env, test.variable+"="+path)
			}
			if err := process.Start(); err != nil {
				t.Fatal(err)
			}
			// This waits until the host reads its settings.
			settings, err := os.OpenFile(path, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			signalProcess(t, process, syscall.SIGHUP)
			io.WriteString(settings, "invalid")
			settings.Close()
			assertExit(t, process, int(ExitUsage))
		})
	}
}

// unusedAddresses returns loopback addresses on which nothing listens.
func unusedAddresses(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		var listenConfig net.ListenConfig
		listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// awaitLine reads lines until one contains a text.
func awaitLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Errorf("got no line with %q", text)
}

// startTestHost starts a host with its own interface in a process, and returns it with its
// standard output and the address for operators. The host serves and has no log, host list
// or weight store.
func startTestHost(t *testing.T) (process *exec.Cmd, stdout io.ReadCloser, operators string) {
	t.Helper()
	addresses := unusedAddresses(t, 6)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	settings := "host: host-a\ndata-centre: dc-a\nregion: region-a\nlinger: 200ms\n" +
		"listen: {callers: " + addresses[0] + ", peers: " + addresses[1] + ", operators: " + addresses[2] + "}\n" +
		"log-address: " + addresses[3] + "\nhost-list-address: " + addresses[4] + "\nweight-store-address: " + addresses[5] + "\n"
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	process = newTestProcess(t, "serve", "--settings", path)
	stdout, err := process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	for !isAlive(t, addresses[2]) {
		time.Sleep(time.Millisecond)
	}
	return process, stdout, addresses[2]
}

// Guards against a SIGHUP that ends a host with its own interface, and with it the requests in
// flight, while it serves and while it stops.
func TestReloadSignalWhileServing(t *testing.T) {
	process, stdout, _ := startTestHost(t)
	lines := bufio.NewScanner(stdout)
	signalProcess(t, process, syscall.SIGHUP)
	awaitLine(t, lines, "settings are not reloaded")
	signalProcess(t, process, syscall.SIGTERM)
	awaitLine(t, lines, "graceful shutdown of the entry host started")
	signalProcess(t, process, syscall.SIGHUP)
	io.Copy(io.Discard, stdout)
	assertExit(t, process, int(ExitSuccess))
}

// Guards against a host that ends, and with it the requests in flight, when nothing reads its
// log lines any more.
func TestClosedOutputDoesNotEndHost(t *testing.T) {
	process, stdout, operators := startTestHost(t)
	stdout.Close()
	signalProcess(t, process, syscall.SIGHUP)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+operators+"/drain", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if response, err := http.DefaultClient.Do(request); err != nil {
		t.Errorf("got error %v, want a response", err)
	} else {
		response.Body.Close()
	}
	assertExit(t, process, int(ExitSuccess))
}

// isAlive reports whether a host responds to a liveness check of an operator.
func isAlive(t *testing.T, address string) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/livez", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return true
}
