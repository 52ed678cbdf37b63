package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health/grpc_health_v1"
)

const (
	// proofTime is the time for which a received frame proves a connection.
	proofTime = time.Second
	// proofLimit bounds the wait for the proof of a connection that was idle.
	proofLimit = 500 * time.Millisecond
)

// link is a connection to another host and the time of its last proof of life.
// Something between the hosts may lose track of a connection without a word to
// either end, so that an idle one is proved before it is used.
type link struct {
	connection *grpc.ClientConn
	proved     atomic.Int64
}

// newLink returns a link. Its connection is made by the first call, which is
// its first proof.
func newLink(connection *grpc.ClientConn) *link {
	l := &link{connection: connection}
	l.prove()
	return l
}

// prove notes that the other end has answered.
func (l *link) prove() { l.proved.Store(time.Now().UnixNano()) }

// isProved reports whether the other end has answered lately.
func (l *link) isProved() bool {
	return time.Since(time.Unix(0, l.proved.Load())) < proofTime
}

// check asks the other end for an answer.
func (l *link) check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proofLimit)
	defer cancel()
	_, err := grpc_health_v1.NewHealthClient(l.connection).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	if err == nil {
		l.prove()
	}
	return err
}

// proved returns a link that has answered lately, or a new one.
func (c *Client) proved(ctx context.Context, name lane) (*link, error) {
	l, err := c.link(name)
	if err != nil || l.isProved() {
		return l, err
	}
	if err := l.check(ctx); err == nil {
		return l, nil
	}
	c.replace(name, l)
	return c.link(name)
}

// replace takes a link that does not answer out of use. Its exchanges have the
// time of the silence limit to end by themselves.
func (c *Client) replace(name lane, l *link) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.links[name] != l {
		return
	}
	delete(c.links, name)
	time.AfterFunc(c.silence, func() { _ = l.connection.Close() })
}
