package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"testing"
)

// programVariable makes the test binary run the program, with the arguments of the binary.
const programVariable = "FUCHSIAPITCH_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// newTestProcess returns a process that runs the program with arguments. It ends with the test.
func newTestProcess(t *testing.T, arguments ...string) *exec.Cmd {
	t.Helper()
	process := exec.CommandContext(t.Context(), os.Args[0], arguments...)
	process.Env = append(os.Environ(), programVariable+"=1")
	return process
}

func signalProcess(t *testing.T, process *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := process.Process.Signal(signal); err != nil {
		t.Fatalf("got error %v, want a running process", err)
	}
}

// writeSetting replaces one field of the settings of a host.
func writeSetting(t *testing.T, path, field string, value map[string]any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var content map[string]any
	if err := json.Unmarshal(data, &content); err != nil {
		t.Fatal(err)
	}
	content[field] = value
	if data, err = json.Marshal(content); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
