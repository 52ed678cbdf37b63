package dispatcher

import (
	"context"
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
)

// peerConnection is a connection to another host and the time of the last response
// on it. A network device between the hosts may drop the state of a connection
// without notifying either end, so an idle connection is checked before use.
type peerConnection struct {
	clientConn           *grpc.ClientConn
	lastResponseUnixNano atomic.Int64
}

// newPeerConnection returns a connection that counts as live at first: gRPC
// connects on the first call, which thus shows whether the host responds.
func newPeerConnection(clientConn *grpc.ClientConn) *peerConnection {
	pc := &peerConnection{clientConn: clientConn}
	pc.recordResponse()
	return pc
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
// health check, or a new connection.
func (c *Client) liveConnection(ctx context.Context, key connectionKey) (*peerConnection, error) {
	pc, err := c.connection(key)
	if err != nil || pc.hasRecentResponse() {
		return pc, err
	}
	if err := pc.checkHealth(ctx); err == nil {
		return pc, nil
	}
	c.retire(key, pc)
	return c.connection(key)
}

// retire removes a connection that does not respond, so that the next call opens
// a new one. It is closed after the frame timeout, by which time every exchange
// without frames has timed out. Closing it aborts the exchanges that are still open.
func (c *Client) retire(key connectionKey, pc *peerConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[key] != pc {
		return
	}
	delete(c.connections, key)
	time.AfterFunc(c.frameTimeout, func() { _ = pc.clientConn.Close() })
}
