package sender

import "bytes"

// EventField is a field of a server-sent event.
type EventField int

// Fields of a server-sent event.
const (
	// CommentField is a line that clients ignore.
	CommentField EventField = iota
	// DataField is a line of the data.
	DataField
	// IDField is the identifier of the event.
	IDField
	// NameField is the name of the event.
	NameField
	// RetryField is the delay before a client reconnects.
	RetryField
)

// ParseEventField parses a line of a server-sent event, without its line feed, and returns
// the value without the space that may precede it. It returns false if the line is no field:
// servers end lines with a line feed alone, so that a carriage return is not part of one.
func ParseEventField(line []byte) (field EventField, value []byte, ok bool) {
	if bytes.IndexByte(line, '\r') >= 0 {
		return 0, nil, false
	}
	name, value := line, []byte(nil)
	if n := bytes.IndexByte(line, ':'); n >= 0 {
		name, value = line[:n], line[n+1:]
		if len(value) > 0 && value[0] == ' ' {
			value = value[1:]
		}
	}
	switch string(name) {
	case "":
		return CommentField, value, len(line) > 0
	case "data":
		return DataField, value, true
	case "id":
		return IDField, value, true
	case "event":
		return NameField, value, true
	case "retry":
		return RetryField, value, true
	}
	return 0, nil, false
}
