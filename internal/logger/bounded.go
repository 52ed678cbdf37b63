package logger

import (
	"fmt"
	"io"

	"github.com/rs/zerolog/diode"
)

// maxBufferedLines is the number of lines that are buffered for a slow reader. It
// covers a few seconds of output under heavy load.
const maxBufferedLines = 4096

// NewNonBlockingWriter returns a writer that buffers lines for w and never blocks.
// Lines that do not fit into the buffer are dropped, and their number is written.
// The returned function writes the buffered lines and closes the writer.
func NewNonBlockingWriter(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, maxBufferedLines, 0, func(dropped int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"missed\":%d,\"message\":\"log lines dropped because the buffer was full\"}\n", dropped)
	})
	return d, func() {
		if err := d.Close(); err != nil {
			fmt.Fprintf(w, "{\"level\":\"error\",\"error\":%q,\"message\":\"log output cannot be flushed and closed\"}\n", err.Error())
		}
	}
}
