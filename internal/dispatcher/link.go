package dispatcher

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health/grpc_health_v1"
)

const (
	// livenessWindow is the time for which a connection counts as live after a
	// response.
	livenessWindow = time.Second
	// healthCheckTimeout limits the health check of an idle connection.
	healthCheckTimeout = 500 * time.Millisecond
	// defaultRetiredLifetime is the time after which a retired connection is closed
	// although exchanges on it are still open.
	defaultRetiredLifetime = time.Hour
)

// peerConnection is a connection to another host and the time of the last response
// on it. A network device between the hosts may drop the state of a connection
// without notifying either end, so an idle connection is checked before use.
type peerConnection struct {
	clientConn           *grpc.ClientConn
	lastResponseUnixNano atomic.Int64
	// lastBytesUnixNano is the time of the last bytes from the host, 0 for none.
	lastBytesUnixNano atomic.Int64
	// exchanges is the number of open exchanges. The client's mutex guards it.
	exchanges int
}

// newPeerConnection returns a connection that counts as live at first: gRPC
// connects on the first call, which thus shows whether the host responds.
func newPeerConnection() *peerConnection {
	pc := &peerConnection{}
	pc.recordResponse()
	return pc
}

// dial opens a network connection that records when bytes arrive.
func (pc *peerConnection) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &recordedConn{Conn: conn, peerConnection: pc}, nil
}

// recordedConn records when bytes arrive.
type recordedConn struct {
	net.Conn
	peerConnection *peerConnection
}

// Read implements net.Conn.
func (c *recordedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.peerConnection.lastBytesUnixNano.Store(time.Now().UnixNano())
	}
	return n, err
}

// timeSinceBytes returns the time since the last bytes from the host.
func (pc *peerConnection) timeSinceBytes() time.Duration {
	return time.Since(time.Unix(0, pc.lastBytesUnixNano.Load()))
}

// recordResponse records that the host has responded.
func (pc *peerConnection) recordResponse() { pc.lastResponseUnixNano.Store(time.Now().UnixNano()) }

// hasRecentResponse reports whether the host has responded within livenessWindow.
func (pc *peerConnection) hasRecentResponse() bool {
	return time.Since(time.Unix(0, pc.lastResponseUnixNano.Load())) < livenessWindow
}

// checkHealth calls the gRPC health service of the host.
func (pc *peerConnection) checkHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	_, err := grpc_health_v1.NewHealthClient(pc.clientConn).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	if err == nil {
		pc.recordResponse()
	}
	return err
}

// liveConnection returns a connection with a recent response or a successful
// health check, or a new connection. The caller releases it.
func (c *Client) liveConnection(ctx context.Context, key connectionKey) (*peerConnection, error) {
	pc, err := c.acquire(key)
	if err != nil || pc.hasRecentResponse() {
		return pc, err
	}
	if err := pc.checkHealth(ctx); err == nil {
		return pc, nil
	}
	c.retire(key, pc)
	c.release(pc)
	return c.acquire(key)
}

// retire removes a connection that does not respond, so that the next call opens
// a new one. Exchanges on it may still make progress, so it is closed when the last
// of them has ended, or after retiredLifetime. The caller has acquired it.
func (c *Client) retire(key connectionKey, pc *peerConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[key] != pc {
		return
	}
	delete(c.connections, key)
	c.retired[pc] = time.AfterFunc(c.retiredLifetime, func() { c.closeRetired(pc) })
}

// release ends an exchange on a connection.
func (c *Client) release(pc *peerConnection) {
	c.mutex.Lock()
	pc.exchanges--
	isUnused := pc.exchanges == 0
	c.mutex.Unlock()
	if isUnused {
		c.closeRetired(pc)
	}
}

// closeRetired closes a connection if it is retired and still open. A retired
// connection gets no further exchanges.
func (c *Client) closeRetired(pc *peerConnection) {
	c.mutex.Lock()
	timer, ok := c.retired[pc]
	delete(c.retired, pc)
	c.mutex.Unlock()
	if ok {
		timer.Stop()
		_ = pc.clientConn.Close()
	}
}
