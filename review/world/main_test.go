//go:build review

package world

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// scripts are the scripts by name.
var scripts = map[string]func(w *world, trouble bool) int{
	"replaced": scriptReplaced,
	"unframed": scriptUnframed,
	"silent":   scriptSilent,
	"sound":    scriptSound,
	"endless":  scriptEndless,
}

// TestMain runs the script that REVIEW_SCRIPT names, in the folder REVIEW_FOLDER.
func TestMain(*testing.M) { os.Exit(run()) }

func run() (code int) {
	if os.Getenv("REVIEW_SCRIPT") == "server" {
		return serveAsServer()
	}
	script, ok := scripts[os.Getenv("REVIEW_SCRIPT")]
	if !ok {
		fmt.Println("no such script")
		return exitNotable
	}
	time.AfterFunc(118*time.Second, func() {
		fmt.Println("the script took too long")
		os.Exit(exitNotable)
	})
	defer func() {
		if v := recover(); v != nil {
			c, ok := v.(cannotRun)
			if !ok {
				panic(v)
			}
			fmt.Println("cannot run:", c.reason)
			code = exitNotable
		}
	}()
	w := newWorld(os.Getenv("REVIEW_FOLDER"))
	defer w.close()
	return script(w, os.Getenv("TROUBLE") != "0")
}
