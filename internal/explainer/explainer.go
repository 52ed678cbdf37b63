// Package explainer tells the story of one request from the log lines of all
// hosts: its own lines, and what the hosts that handled it decided about groups
// shortly before.
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
	// before is how long before the first line of a request decisions about groups
	// may have shaped it: a repair takes less.
	before = 3 * time.Second
	// lineLimitBytes is the longest line that is read.
	lineLimitBytes = 1 << 20
)

// stepMessages are the messages of decisions about the lead, groups and the
// configuration.
var stepMessages = []string{
	"leads the groups", "takes over the lead", "server is lost", "group is taken apart", "group is formed", "group is open",
	"group retires", "configuration is in force", "store cannot be read", "process was suspended", "host serves", "host stops",
}

// NotFoundError reports a request without a line.
type NotFoundError struct{ Request string }

// Error implements error.
func (e *NotFoundError) Error() string { return "no line names request " + e.Request }

// Line is one log line.
type Line struct {
	at     time.Time
	host   string
	fields map[string]any
}

// At returns the time of the line, in the clock of its host.
func (l Line) At() time.Time { return l.at }

// Host returns the host that wrote the line.
func (l Line) Host() string { return l.host }

// Message returns what the line says.
func (l Line) Message() string { return text(l.fields["message"]) }

// request returns the request that the line is about, "" for none.
func (l Line) request() string { return text(l.fields["request"]) }

// String returns the line for a reader: time, host, message and its fields in the
// order of their names.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %s", l.at.Format("15:04:05.000"), l.host, l.Message())
	names := make([]string, 0, len(l.fields))
	for n := range l.fields {
		if !slices.Contains([]string{"time", "host", "message", "level", "subsystem", "request"}, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%s", n, text(l.fields[n]))
	}
	return b.String()
}

func text(v any) string {
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

// Read returns the log lines of a reader. What stands before the first brace of a
// line is left out, and so are lines that are no log lines.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineLimitBytes)
	var lines []Line
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(scanner.Bytes()[at:], &l.fields) != nil {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, text(l.fields["time"]))
		if err != nil {
			continue
		}
		l.at, l.host = t, text(l.fields["host"])
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// Explain returns the lines of a request and those of decisions that may have
// shaped it, in the order of time. Its error is a NotFoundError.
func Explain(request string, lines []Line) ([]Line, error) {
	var own []Line
	for _, l := range lines {
		if l.request() == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil, &NotFoundError{Request: request}
	}
	byTime := func(a, b Line) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.host, b.host)) }
	slices.SortStableFunc(own, byTime)
	first, last := own[0].at.Add(-took(own[0])-before), own[len(own)-1].at
	story := slices.Clone(own)
	for _, l := range lines {
		if l.request() == "" && !l.at.Before(first) && !l.at.After(last) && slices.Contains(stepMessages, l.Message()) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story, nil
}

// took returns how long the request of a line had been under way.
func took(l Line) time.Duration {
	for _, name := range []string{"after-ms", "took-ms"} {
		if ms, ok := l.fields[name].(float64); ok {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}
