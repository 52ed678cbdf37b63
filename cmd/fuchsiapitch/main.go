// Command fuchsiapitch serves large language models whose replicas span several
// hosts, and the application services beside them.
package main

import (
	"context"
	"os"

	"github.com/fuchsiapitch/fuchsiapitch/internal/commander"
)

func main() {
	streams := commander.Streams{Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(commander.Run(context.Background(), streams, os.Args[1:]))
}
