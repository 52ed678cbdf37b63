package driver

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// slowServers is a ServerClient whose calls take a fixed time.
type slowServers struct {
	duration time.Duration

	mutex               sync.Mutex
	inProgress, highest int
	calls, expired      int
}

func (s *slowServers) Report(ctx context.Context, id fuchsiapitch.ServerID, _ string) (fuchsiapitch.ServerReport, error) {
	s.mutex.Lock()
	s.calls++
	s.inProgress++
	s.highest = max(s.highest, s.inProgress)
	s.mutex.Unlock()
	timer := time.NewTimer(s.duration)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inProgress--
	if err != nil {
		s.expired++
	}
	return fuchsiapitch.ServerReport{ID: id}, err
}

func (*slowServers) CheckHealth(context.Context, string) (fuchsiapitch.ServerID, bool, error) {
	return "", false, nil
}

func (*slowServers) Identify(context.Context, string) (fuchsiapitch.ServerID, error) { return "", nil }

func (*slowServers) Order(context.Context, fuchsiapitch.GroupOrder) (fuchsiapitch.OrderResult, error) {
	return fuchsiapitch.OrderDone, nil
}

func (*slowServers) Claim(context.Context, int64) (coordinator.ClaimRead, error) {
	return coordinator.ClaimRead{}, nil
}

// Pattern: a new controller probes hundreds of servers at once. The calls are made a few
// at a time, and none expires because it has waited for its turn.
func TestCallsToServersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &slowServers{duration: probeTimeout / 2}
		var socket net.PacketConn
		d := New(t.Context(), coordinator.New(coordinator.Peer{ID: "a"}, 1), servers, servers, socket)
		const probes = 875
		for n := range probes {
			d.mutex.Lock()
			d.execute(coordinator.ProbeServer{Server: fuchsiapitch.ServerID(fmt.Sprintf("s%d", n))})
			d.mutex.Unlock()
		}
		d.backgroundTasks.Wait()
		if got, want := servers.calls, probes; got != want {
			t.Errorf("got %d calls, want %d", got, want)
		}
		if got, want := servers.highest, maxConcurrentCalls; got > want {
			t.Errorf("got %d calls at once, want at most %d", got, want)
		}
		if got, want := servers.expired, 0; got != want {
			t.Errorf("got %d expired calls, want %d", got, want)
		}
	})
}
