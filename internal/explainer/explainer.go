// Package explainer selects the log lines that explain the outcome of one request:
// the lines of the request, and those of decisions about leadership, groups and the
// configuration on any host from shortly before its start until its last line.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// decisionWindow is how long before the start of a request a decision may have been
	// made that still affected it. The repair of a group takes less time.
	decisionWindow = 3 * time.Second
	// maxLineBytes is the length of the longest line that can be read.
	maxLineBytes = 1 << 20
)

// decisionMessages are the messages of decisions and events that affect requests:
// leadership, groups, the configuration, servers that are set aside, and the starts and stops
// of hosts. A line on a server that is set aside has the request that brought it.
var decisionMessages = []string{
	"leads the groups", "takes over the lead", "server is lost", "group is taken apart", "group is formed", "group is open",
	"group retires", "server says that it leaves", "server pauses", "server has ended while it answered", "part of prompts is quarantined", "part of prompts is free again", "configuration is in force", "store cannot be read", "process was suspended", "host serves", "host stops",
}

// NotFoundError reports that no log line has the ID of a request.
type NotFoundError struct{ RequestID string }

// Error implements error.
func (e *NotFoundError) Error() string { return "no log line has request ID " + e.RequestID }

// Line is one log line.
type Line struct {
	timestamp time.Time
	host      string
	fields    map[string]any
}

// Timestamp returns the time of the line according to the clock of its host.
func (l Line) Timestamp() time.Time { return l.timestamp }

// Host returns the host that wrote the line.
func (l Line) Host() string { return l.host }

// Message returns the message of the line.
func (l Line) Message() string { return formatValue(l.fields["message"]) }

// requestID returns the ID of the request that the line belongs to, "" for none.
func (l Line) requestID() string { return formatValue(l.fields["request"]) }

// String formats the line for a human reader: time, host, message and the other
// fields, sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %s", l.timestamp.Format("15:04:05.000"), l.host, l.Message())
	names := make([]string, 0, len(l.fields))
	for n := range l.fields {
		if !slices.Contains([]string{"time", "host", "message", "level", "subsystem", "request"}, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%s", n, formatValue(l.fields[n]))
	}
	return b.String()
}

func formatValue(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

// Read returns the log lines of a reader. It ignores text before the first opening
// brace of a line, and lines that are not log lines.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		jsonStart := bytes.IndexByte(scanner.Bytes(), '{')
		if jsonStart < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(scanner.Bytes()[jsonStart:], &l.fields) != nil {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, formatValue(l.fields["time"]))
		if err != nil {
			continue
		}
		l.timestamp, l.host = t, formatValue(l.fields["host"])
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// Explain returns the lines of a request and of the decisions that may have affected
// it, sorted by time. It returns a NotFoundError if the request has no line.
func Explain(requestID string, lines []Line) ([]Line, error) {
	var requestLines []Line
	for _, l := range lines {
		if l.requestID() == requestID {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil, &NotFoundError{RequestID: requestID}
	}
	byTime := func(a, b Line) int { return cmp.Or(a.timestamp.Compare(b.timestamp), cmp.Compare(a.host, b.host)) }
	slices.SortStableFunc(requestLines, byTime)
	windowStart, windowEnd := requestLines[0].timestamp.Add(-elapsed(requestLines[0])-decisionWindow), requestLines[len(requestLines)-1].timestamp
	explanation := slices.Clone(requestLines)
	for _, l := range lines {
		if l.requestID() != requestID && !l.timestamp.Before(windowStart) && !l.timestamp.After(windowEnd) && slices.Contains(decisionMessages, l.Message()) {
			explanation = append(explanation, l)
		}
	}
	slices.SortStableFunc(explanation, byTime)
	return explanation, nil
}

// elapsed returns how long after the receipt of the request a line was written, 0 if
// the line does not contain this time.
func elapsed(l Line) time.Duration {
	for _, name := range []string{"after-ms", "took-ms"} {
		if ms, ok := l.fields[name].(float64); ok {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}
