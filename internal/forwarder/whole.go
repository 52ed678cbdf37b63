package forwarder

import (
	"errors"
	"io"
)

// ignoreEOF returns nil for io.EOF, which marks the end of a complete response, and
// any other error unchanged.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
