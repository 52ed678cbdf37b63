package driver

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// reportingServers is a ServerClient whose servers report a start time once they respond.
type reportingServers struct {
	httpServers
	started int64
}

func (s reportingServers) Report(ctx context.Context, id fuchsiapitch.ServerID, address string) (fuchsiapitch.ServerReport, error) {
	if _, err := s.httpServers.Report(ctx, id, address); err != nil {
		return fuchsiapitch.ServerReport{}, &fuchsiapitch.UnreachableError{Address: address, Action: "report", Err: err}
	}
	return fuchsiapitch.ServerReport{StartedUnixMillis: s.started}, nil
}

// Guards against a server that breaks off a response and counts as ended though it runs on, has
// too many connections, stands still or is cut off, and against one that has ended and does not.
func TestVerifyServer(t *testing.T) {
	respond := func(c net.Conn) {
		defer c.Close()
		if _, err := c.Read(make([]byte, 1<<10)); err == nil {
			c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	listen := func(handle func(net.Conn)) string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				handle(c)
			}
		}()
		return l.Addr().String()
	}
	for name, c := range map[string]struct {
		address string
		started int64
		want    bool
	}{
		"runs on":                  {address: listen(respond), started: 7},
		"later incarnation":        {address: listen(respond), started: 8, want: true},
		"nobody listens":           {address: "127.0.0.1:1", want: true},
		"connections are reset":    {address: listen(func(c net.Conn) { c.Close() }), started: 7},
		"the process stands still": {address: listen(func(net.Conn) {}), started: 7},
	} {
		t.Run(name, func(t *testing.T) {
			servers := reportingServers{httpServers: httpServers{&http.Transport{DisableKeepAlives: true}}, started: c.started}
			d := New(t.Context(), coordinator.New(coordinator.Peer{ID: "a"}, 1), servers, nil, nil)
			got := d.verifyServer(coordinator.VerifyServer{Server: "s", Address: c.address, StartedUnixMillis: 7})
			if got.Ended != c.want || got.Server != "s" || got.StartedUnixMillis != 7 {
				t.Errorf("got %+v, want ended %v for the same incarnation", got, c.want)
			}
		})
	}
}
