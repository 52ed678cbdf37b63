package commander

import (
	"flag"
	"fmt"
	"strings"
)

// ReferencePage returns the command-line reference for operators, in Markdown.
func ReferencePage() string {
	var b strings.Builder
	b.WriteString(`# Command line

This page is generated from the commands; ` + "`go test ./internal/commander -update`" + ` writes it again.

Exit codes: 0 success, 1 failure or a missed target, 2 wrong arguments or files.
`)
	for _, c := range Commands(Streams{}) {
		fmt.Fprintf(&b, "\n## %s\n\n%s.\n\n", c.Name(), c.Synopsis())
		writeCodeBlock(&b, c.Usage())
		flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
		c.SetFlags(flags)
		writeFlagTable(&b, flags)
	}
	return b.String()
}

func writeCodeBlock(b *strings.Builder, text string) {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		b.WriteString(strings.TrimRight("    "+line, " ") + "\n")
	}
}

func writeFlagTable(b *strings.Builder, flags *flag.FlagSet) {
	rows := 0
	flags.VisitAll(func(f *flag.Flag) {
		if rows == 0 {
			b.WriteString("\n| flag | default | meaning |\n| --- | --- | --- |\n")
		}
		rows++
		fmt.Fprintf(b, "| `--%s` | `%s` | %s |\n", f.Name, f.DefValue, f.Usage)
	})
}
