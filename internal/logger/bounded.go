package logger

import (
	"fmt"
	"io"

	"github.com/rs/zerolog/diode"
)

// boundedLines is the number of lines that wait for a slow reader: some seconds
// of a heavy day.
const boundedLines = 4096

// NewBounded returns a writer that never waits for the one below it: lines that
// find no room are dropped, and their number is written. The function writes what
// is left.
func NewBounded(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, boundedLines, 0, func(missed int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"missed\":%d,\"message\":\"lines left out\"}\n", missed)
	})
	return d, func() {
		if err := d.Close(); err != nil {
			fmt.Fprintf(w, "{\"level\":\"error\",\"error\":%q,\"message\":\"log cannot be closed\"}\n", err.Error())
		}
	}
}
