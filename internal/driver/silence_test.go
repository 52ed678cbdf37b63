package driver

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// httpServers is a ServerClient that makes real calls.
type httpServers struct{ transport *http.Transport }

func (s httpServers) get(ctx context.Context, address string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, http.NoBody)
	if err != nil {
		return err
	}
	response, err := s.transport.RoundTrip(r)
	if err == nil {
		response.Body.Close()
	}
	return err
}

func (s httpServers) Report(ctx context.Context, _ fuchsiapitch.ServerID, address string) (fuchsiapitch.ServerReport, error) {
	return fuchsiapitch.ServerReport{}, s.get(ctx, address)
}

func (httpServers) CheckHealth(context.Context, string) (fuchsiapitch.ServerID, bool, error) {
	return "", false, nil
}

func (httpServers) Identify(context.Context, string) (fuchsiapitch.ServerID, error) { return "", nil }

func (s httpServers) Order(ctx context.Context, o fuchsiapitch.GroupOrder) (fuchsiapitch.OrderResult, error) {
	if err := s.get(ctx, o.Address); err != nil {
		return fuchsiapitch.OrderUnknown, err
	}
	return fuchsiapitch.OrderDone, nil
}

// Guards against a sound server that counts as lost because it is silent for a second or
// so, and against an ended server that counts as silent, which would delay its replacement.
func TestSilenceIsToldFromLoss(t *testing.T) {
	listen := func(handle func(net.Conn)) string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		if handle != nil {
			go func() {
				for c, err := l.Accept(); err == nil; c, err = l.Accept() {
					handle(c)
				}
			}()
		}
		return l.Addr().String()
	}
	unroutable := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	for _, tt := range []struct {
		name, address string
		transport     *http.Transport
		want          bool
	}{
		{name: "the kernel accepts and the process stands still", address: listen(nil), want: true},
		{name: "the server closes the connection", address: listen(func(c net.Conn) { c.Close() })},
		{name: "no process listens", address: "127.0.0.1:1"},
		{name: "the machine is cut off", address: "127.0.0.1:1", transport: unroutable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.transport == nil {
				tt.transport = &http.Transport{DisableKeepAlives: true}
			}
			servers := httpServers{tt.transport}
			d := New(t.Context(), coordinator.New(coordinator.Peer{ID: "a"}, 1), servers, nil, nil)
			probe := d.probeServer(coordinator.ProbeServer{Server: "s", Address: tt.address})
			if got := probe.Silent; got != tt.want || probe.Err == nil {
				t.Errorf("got a silent probe %v with error %v, want %v", got, probe.Err, tt.want)
			}
			order := d.sendOrder(fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderOpen, Server: "s", Address: tt.address})
			if got := order.Silent; got != tt.want || order.Result != fuchsiapitch.OrderUnknown {
				t.Errorf("got a silent order %v with result %s, want %v", got, order.Result, tt.want)
			}
		})
	}
	t.Run("the server responds", func(t *testing.T) {
		address := listen(func(c net.Conn) {
			defer c.Close()
			if _, err := c.Read(make([]byte, 1<<10)); err == nil {
				c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
		d := New(t.Context(), coordinator.New(coordinator.Peer{ID: "a"}, 1), httpServers{&http.Transport{DisableKeepAlives: true}}, nil, nil)
		if probe := d.probeServer(coordinator.ProbeServer{Server: "s", Address: address}); probe.Silent || probe.Err != nil {
			t.Errorf("got a silent probe %v with error %v, want a report", probe.Silent, probe.Err)
		}
	})
}
