package relayer

import (
	"bytes"
	"math"

	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
)

const (
	// noEventID precedes all identifiers of events.
	noEventID = -1
	// maxEventIDDigits is the largest number of digits of an identifier. All such numbers
	// fit into 64 bits without a sign.
	maxEventIDDigits = 19
)

// validateEvents validates complete events that follow the event with an identifier. It
// returns the number of bytes of the valid events at the start, the identifier of the last of
// them and what is wrong with the one behind, "" if all are valid.
//
// An invalid event is part of something else, such as the text of an error that a server has
// written behind a part of an event.
func validateEvents(events []byte, lastID int64, codec HeaderCodec) (validBytes int, lastValidID int64, problem string) {
	for validBytes < len(events) {
		if events[validBytes] == '\n' {
			validBytes++
			continue
		}
		rest := events[validBytes:]
		n := bytes.Index(rest, eventDelimiter)
		if lastID, problem = validateEvent(rest[:n+1], lastID, codec); problem != "" {
			break
		}
		validBytes += n + len(eventDelimiter)
	}
	return validBytes, lastID, problem
}

// validateEvent validates the lines of an event that follows the event with an identifier. It
// returns its own identifier and "", or lastID and what is wrong with it. Comments between
// the events have no identifier.
func validateEvent(event []byte, lastID int64, codec HeaderCodec) (id int64, problem string) {
	id = noEventID
	var hasData, hasID, hasName bool
	for start := 0; start < len(event); {
		end := start + bytes.IndexByte(event[start:], '\n')
		line := event[start:end]
		field, value, ok := sender.ParseEventField(line)
		if !ok && (start > 0 || !codec.IsEventMetadata(line)) {
			return lastID, "a line is no field"
		}
		switch {
		case !ok || field == sender.CommentField || field == sender.RetryField:
		case field == sender.DataField:
			hasData = true
		case field == sender.NameField:
			hasName = true
		case hasID:
			return lastID, "two identifiers"
		default:
			hasID = true
			id = parseEventID(value)
		}
		start = end + 1
	}
	switch {
	case !hasID && !hasData && !hasName:
		return lastID, ""
	case !hasID || id == noEventID:
		return lastID, "no identifier"
	case !hasData:
		return lastID, "no data"
	case id <= lastID:
		return lastID, "its identifier is not greater than the last one"
	}
	return id, ""
}

// parseEventID parses the identifier of an event, a decimal number of at most 63 bits. It
// returns noEventID for any other text.
func parseEventID[T string | []byte](text T) int64 {
	if len(text) == 0 || len(text) > maxEventIDDigits {
		return noEventID
	}
	n := uint64(0)
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return noEventID
		}
		n = n*10 + uint64(text[i]-'0')
	}
	if n > math.MaxInt64 {
		return noEventID
	}
	return int64(n)
}
