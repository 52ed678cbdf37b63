package relayer

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

// isConnectionEnd reports whether an error says that the other side ended a connection before
// the response on it was complete. A server that ends while it responds does so, but also one
// that breaks off a single response.
func isConnectionEnd(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// stringers converts parts for the logger.
func stringers(parts []quarantiner.Part) []fmt.Stringer {
	list := make([]fmt.Stringer, 0, len(parts))
	for _, p := range parts {
		list = append(list, p)
	}
	return list
}

// logConnectionEnd logs an attempt whose server has ended the connection. The first byte of the
// body came at startedAt, the zero time for none.
func (x *exchange) logConnectionEnd(slot *driver.Slot, startedAt time.Time, err error) {
	if !isConnectionEnd(err) {
		return
	}
	answeredFor := time.Duration(0)
	if !startedAt.IsZero() {
		answeredFor = time.Since(startedAt)
	}
	x.relayer.log.Info().Str("request", string(x.metadata.ID)).Str("route", x.route.Name).Str("server", string(slot.Server())).
		Stringers("parts", stringers(x.sharedParts())).Bool("answered", !startedAt.IsZero()).Int64("answered-for-ms", answeredFor.Milliseconds()).
		Err(err).Msg("server ended the connection")
}
