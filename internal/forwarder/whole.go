package forwarder

import (
	"errors"
	"io"
)

// wholeOr returns nil for the end of a whole answer and the error otherwise.
func wholeOr(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
