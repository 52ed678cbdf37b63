package relayer

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
)

// framings are the ways in which a response with a body can be framed. The function returns
// the response to request r1 with further header fields, and a body that is complete or
// breaks off.
var framings = map[string]func(head, body string, complete bool) string{
	"length": func(head, body string, complete bool) string {
		n := len(body)
		if !complete {
			n += 1000
		}
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, n, body)
	},
	"chunks": func(head, body string, complete bool) string {
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if complete {
			text += "0\r\n\r\n"
		}
		return text
	},
	"end of the connection": func(head, body string, _ bool) string { return head + "\r\n" + body },
}

const streamHead = signedHead + "Content-Type: text/event-stream\r\n"

// event returns an event as a server sends it.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// events returns the events from one identifier to another.
func events(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		text.WriteString(event(id))
	}
	return text.String()
}

// closingServer is a rawServer that closes the connection after each response.
func closingServer(respond func(request int32) string) *rawServer {
	return &rawServer{respond: respond, closes: true}
}

// invalidEvents are bodies that a server may write where events from 3 on are due, each of
// which ends like an event.
var invalidEvents = map[string]string{
	"error text":                      "Internal Server Error\n\n",
	"error as JSON":                   `{"error":"failed"}` + "\n\n",
	"header":                          "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\n\n",
	"header with LF":                  "HTTP/1.1 500 Internal Server Error\nContent-Type: text/plain\n\nfailed\n\n",
	"header within an event":          "id: 3\ndata: tokHTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\nfailed\n\n",
	"status line within an event":     "id: 3\ndata: tokHTTP/1.1 500 Internal Server Error\r\n\n",
	"header after a line of an event": "id: 3\nHTTP/1.1 500 Internal Server Error\nContent-Length: 8\n\n",
	"error text within an event":      "id: 3\ndata: tok\nInternal Server Error\n\n",
	"event that begins again":         "id: 3\nid: 4\ndata: token 4\n\n",
	"event without data":              "id: 3\n\n",
	"event without identifier":        "data: token 3\n\n",
	"error event":                     "event: error\ndata: failed\n\n",
	"name alone":                      "event: message\n\n",
	"identifier that is no number":    "id: three\ndata: token 3\n\n",
	"negative identifier":             "id: -3\ndata: token 3\n\n",
	"empty identifier":                "id:\ndata: token 3\n\n",
	"identifier of another notation":  "id: 0x3\ndata: token 3\n\n",
	"identifier that is too large":    "id: 9223372036854775808\ndata: token 3\n\n",
	"identifier of 20 digits":         "id: 00000000000000000003\ndata: token 3\n\n",
	"other field":                     "id: 3\nstatus: 500\ndata: token 3\n\n",
	"metadata after the first line":   "id: 3\nversion: 2\ndata: token 3\n\n",
	"metadata that is no number":      "version: x\nid: 3\ndata: token 3\n\n",
	"beginning again with event 1":    events(1, 5),
	"the last event again":            events(2, 5),
	"identifier 0":                    event(0),
	"NUL":                             "\x00\n\n",
}

// errorResponses are the responses of a server that cannot resume a stream.
func errorResponses(frame func(head, body string, complete bool) string) map[string]string {
	const stream, signed = "Content-Type: text/event-stream\r\n", "Signed: 1\r\n"
	withHead := func(head, body string) string { return frame(head, body, true) }
	return map[string]string{
		"failure":                       withHead("HTTP/1.1 500 Internal Server Error\r\nId: r1\r\n"+signed, "failed\n\n"),
		"failure as events":             withHead("HTTP/1.1 500 Internal Server Error\r\nId: r1\r\n"+signed+stream, events(3, 5)),
		"refusal":                       withHead("HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\n", "full\n\n"),
		"unavailable":                   withHead("HTTP/1.1 503 Service Unavailable\r\nId: r1\r\n"+signed, "full\n\n"),
		"not found":                     withHead("HTTP/1.1 404 Not Found\r\nId: r1\r\n"+signed, "none\n\n"),
		"not a stream":                  withHead("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: application/json\r\n"+signed, "{}\n\n"),
		"without a content type":        withHead("HTTP/1.1 200 OK\r\nId: r1\r\n"+signed, events(3, 5)),
		"partial content":               withHead("HTTP/1.1 206 Partial Content\r\nId: r1\r\n"+signed+stream, events(3, 5)),
		"stream of another request":     withHead("HTTP/1.1 200 OK\r\nId: r0\r\n"+signed+stream, events(3, 5)),
		"stream of no request":          withHead("HTTP/1.1 200 OK\r\n"+signed+stream, events(3, 5)),
		"stream without signature":      withHead("HTTP/1.1 200 OK\r\nId: r1\r\n"+stream, events(3, 5)),
		"empty stream":                  withHead(streamHead, ""),
		"comment alone":                 withHead(streamHead, comment),
		"part of an event":              withHead(streamHead, "id: 3\nda"),
		"nothing":                       "",
		"part of a header":              "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n",
		"bytes that are no response":    "id: 3\ndata: token 3\n\n",
		"no body":                       "HTTP/1.1 204 No Content\r\nId: r1\r\nSigned: 1\r\n\r\n",
		"not modified, without a body":  "HTTP/1.1 304 Not Modified\r\nId: r1\r\n\r\n",
		"early responses, then nothing": "HTTP/1.1 103 Early Hints\r\nId: r1\r\nSigned: 1\r\n\r\n",
	}
}

// comment is a comment between events, which may be delivered.
const comment = ": alive\n\n"

// assertBroken checks that a client received some events and no end of the response.
func assertBroken(t *testing.T, response *http.Response, body string, err error, want string) {
	t.Helper()
	if response == nil || response.StatusCode != http.StatusOK || body != want || err == nil {
		t.Errorf("got %v, body %q and error %v, want status 200, %q and an error", response, body, err, want)
	}
}

// Guards against an error of the next server in a stream that has begun: the client receives
// the events of the first server and no byte of the error, and its response does not look
// complete. With a third server it receives the rest of the stream. A refusal as not run is no
// run, so that further attempts follow it.
func TestErrorAtResumption(t *testing.T) {
	for framing, frame := range framings {
		broken := frame(streamHead, events(1, 2)+"id: 3\nda", false)
		responses := errorResponses(frame)
		for name, body := range invalidEvents {
			responses[name+" as a stream"] = frame(streamHead, body, true)
		}
		for name, second := range responses {
			respond := func(n int32) string {
				switch n {
				case 1:
					return broken
				case 2:
					return second
				}
				return frame(streamHead, events(3, 5), true)
			}
			t.Run(framing+"/"+name, func(t *testing.T) {
				s := closingServer(func(n int32) string { return respond(min(n, 2)) })
				response, body, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+"/stream/x", "p")
				assertBroken(t, response, strings.ReplaceAll(body, comment, ""), err, events(1, 2))
				requests := int32(2)
				if name == "refusal" {
					requests += maxNotRunAttempts
				}
				assertRequests(t, requests, s)
			})
			t.Run(framing+"/"+name+", third server", func(t *testing.T) {
				s := closingServer(respond)
				_, body, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP, s.ServeHTTP)+"/long-stream/x", "p")
				if got, want := strings.ReplaceAll(body, comment, ""), events(1, 5); got != want || err != nil {
					t.Errorf("got %q and error %v, want %q", got, err, want)
				}
			})
		}
	}
}

// Guards against bytes in the middle of a stream that are no event of it, such as the text or
// the header of an error: the events before are delivered, and the stream is resumed after
// them if it may be. Otherwise the response breaks off.
func TestInvalidEvent(t *testing.T) {
	for framing, frame := range framings {
		for name, invalid := range invalidEvents {
			first := frame(streamHead, events(1, 2)+invalid+events(4, 5), true)
			t.Run(framing+"/"+name, func(t *testing.T) {
				s := closingServer(func(n int32) string {
					if n == 1 {
						return first
					}
					return frame(streamHead, events(3, 5), true)
				})
				_, body, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+"/stream/x", "p")
				if want := events(1, 5); body != want || err != nil {
					t.Errorf("got %q and error %v, want %q", body, err, want)
				}
			})
			t.Run(framing+"/"+name+", not resumable", func(t *testing.T) {
				s := closingServer(always(first))
				response, body, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+"/one-stream/x", "p")
				assertBroken(t, response, body, err, events(1, 2))
				assertRequests(t, 1, s)
			})
		}
	}
}

// An invalid event is logged with its server, also if another server completes the stream.
func TestInvalidEventIsLogged(t *testing.T) {
	logs := new(lockedBuffer)
	s := closingServer(func(n int32) string {
		if n == 1 {
			return framings["chunks"](streamHead, events(1, 2)+invalidEvents["error text"], true)
		}
		return framings["chunks"](streamHead, events(3, 5), true)
	})
	response, _, err := sendAndRead(t, newLoggedTestRelayer(t, logs, s.ServeHTTP, s.ServeHTTP)+"/stream/x", "p")
	if err != nil {
		t.Fatal(err)
	}
	assertStatus(t, response, http.StatusOK)
	assertLogged(t, logs, "stream cut off: invalid event of ")
	assertLogged(t, logs, "after event 2: a line is no field")
}

// Guards against an event that was delivered twice because the client itself resumes a stream
// and the server begins with an event that the client has.
func TestClientResumes(t *testing.T) {
	for first, want := range map[int]int{1: http.StatusBadGateway, 2: http.StatusBadGateway, 3: http.StatusOK, 4: http.StatusOK} {
		t.Run(fmt.Sprint("first event ", first), func(t *testing.T) {
			s := closingServer(always(framings["chunks"](streamHead, events(first, 5), true)))
			r := newRequest(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+"/stream/x", "p")
			r.Header.Set("Last", "2")
			response, _, err := readResponse(http.DefaultTransport.RoundTrip(r))
			if err != nil {
				t.Fatal(err)
			}
			assertStatus(t, response, want)
		})
	}
}

// Everything that a stream may contain is delivered unchanged, wherever the reads split it.
func TestValidEvents(t *testing.T) {
	for name, body := range map[string]string{
		"consecutive":                   events(1, 20),
		"from 0":                        events(0, 3),
		"with gaps":                     event(6) + event(12) + event(18) + event(20),
		"large identifiers":             event(1700000000000000001) + event(math.MaxInt64),
		"without spaces":                "id:1\ndata:a\n\nid:2\ndata:b\n\n",
		"data first":                    "data: a\nid: 1\n\ndata: b\nid: 2\n\n",
		"several lines of data":         "id: 1\ndata: a\ndata:\ndata\ndata: id: 9\n\n",
		"names and delays":              "event: token\nid: 1\nretry: 1000\ndata: a\n\n",
		"comments":                      ": alive\n\nid: 1\n: alive\ndata: a\n\n:\n\nid: 2\ndata: b\n\n",
		"metadata":                      "version: 12\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nversion:13\nid: 3\ndata: c\n\n",
		"blank lines":                   "id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n",
		"data like a header":            "id: 1\ndata: HTTP/1.1 500 Internal Server Error\ndata: Id: r2\n\n",
		"data in another character set": "id: 1\ndata: \xff\xfe äöü\x00\n\n",
		"data larger than the buffer":   "id: 1\ndata: " + strings.Repeat("x", 3*initialBufferBytes) + "\n\n" + event(2),
	} {
		for framing, frame := range framings {
			t.Run(name+"/"+framing, func(t *testing.T) {
				s := closingServer(always(frame(streamHead, body, true)))
				response, got, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP)+"/one-stream/x", "p")
				if err != nil || got != body {
					t.Errorf("got %v, body %q and error %v, want %q", response, got, err, body)
				}
			})
		}
	}
	t.Run("byte by byte", func(t *testing.T) {
		body := ": alive\n\nversion: 12\nid: 1\ndata: a\n\nid: 6\ndata: b\ndata: c\n\n"
		var chunks strings.Builder
		for i := range len(body) {
			fmt.Fprintf(&chunks, "1\r\n%s\r\n", body[i:i+1])
		}
		s := closingServer(always(streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n"))
		_, got, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP)+"/one-stream/x", "p")
		if err != nil || got != body {
			t.Errorf("got %q and error %v, want %q", got, err, body)
		}
	})
}

// discardingWriter is the writer of a response that nobody reads.
type discardingWriter struct {
	io.Writer
	header http.Header
}

// Header implements http.ResponseWriter.
func (w discardingWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (discardingWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (discardingWriter) Flush() {}

// BenchmarkEvents measures the forwarding of events that arrive one or eight at a time.
func BenchmarkEvents(b *testing.B) {
	const count = 8000
	for _, perRead := range []int{1, 8} {
		b.Run(fmt.Sprint(perRead, " at a time"), func(b *testing.B) {
			var reads [][]byte
			for id := 1; id <= count; id += perRead {
				var text strings.Builder
				for i := range perRead {
					fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", id+i, strings.Repeat("token ", 16))
				}
				reads = append(reads, []byte(text.String()))
			}
			response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
			x := &exchange{relayer: New(nil, nil, fakeHeaderCodec{}), writer: discardingWriter{io.Discard, http.Header{}}}
			b.ReportAllocs()
			for b.Loop() {
				p := &streamProgress{headerSent: true, lastEventID: noEventID}
				for _, events := range reads {
					n, lastID, problem := validateEvents(events, p.lastEventID, x.relayer.codec)
					if err := x.writeEvents(response, events[:n], lastID, p); err != nil || problem != "" {
						b.Fatal(err, problem)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/event")
		})
	}
}

// The identifier is that of the last event, and identifiers within the data do not count.
func TestValidateEvents(t *testing.T) {
	for text, want := range map[string]int64{
		"id: 7\ndata: x\n\n": 7, "id:5\ndata\n\nid: 6\ndata: id: 3\n\n": 6, "": 4, "\n\n": 4, ": id: 9\n\n": 4,
	} {
		n, got, problem := validateEvents([]byte(text), 4, fakeHeaderCodec{})
		if got != want || n != len(text) || problem != "" {
			t.Errorf("got identifier %d, %d bytes and problem %q of %q, want %d and all bytes", got, n, problem, text, want)
		}
	}
}

// Whatever the events contain, identifiers increase, and only complete lines that are fields
// are valid.
func FuzzValidateEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: id:2\n\n"), int64(0))
	for _, text := range invalidEvents {
		f.Add([]byte(text), int64(2))
	}
	f.Fuzz(func(t *testing.T, text []byte, lastID int64) {
		text = text[:completeEventBytes(text, len(text))]
		n, id, problem := validateEvents(text, lastID, fakeHeaderCodec{})
		if (n == len(text)) != (problem == "") || id < lastID || bytes.ContainsRune(text[:n], '\r') {
			t.Errorf("got %d of %d bytes valid, identifier %d after %d, problem %q of %q", n, len(text), id, lastID, problem, text)
		}
	})
}
