//go:build review

// Command world2 runs the cases 6 to 9 of the review: a stand-in of the platform's store, of
// backend servers and of clients around the project's own program, each server and each entry
// host as a process of its own.
//
// It reads the names of the platform from names.json.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
)

//go:embed names.json
var namesFile []byte

// names holds the names of the platform by what they stand for.
var names map[string]string

func main() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: world2 CASE | server FLAGS")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := play(w)
	w.close()
	os.Exit(code)
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)
