// Package orderer is an HTTP client of the management interface of model engines. It
// implements fuchsiapitch.EngineControl.
package orderer

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/requester"
)

const (
	maxResponseBytes   = 4 << 20
	defaultCallTimeout = time.Second
)

// Orderer is a client of the management interface of all engines. It caches the last
// status of each engine with its entity tag, and revalidates it with a conditional
// request.
type Orderer struct {
	callTimeout time.Duration
	requester   *requester.Requester

	mutex          sync.Mutex
	cachedStatuses map[fuchsiapitch.ServerID]cachedStatus
}

// Option sets one optional property of an orderer.
type Option func(*Orderer)

// WithCallTimeout sets the time-out of one call.
func WithCallTimeout(timeout time.Duration) Option {
	return func(o *Orderer) { o.callTimeout = timeout }
}

// New returns a client. Without options a call times out after 1 s. The returned
// function closes the idle connections.
func New(options ...Option) (*Orderer, func()) {
	client, closeConnections := requester.New(maxResponseBytes)
	o := &Orderer{callTimeout: defaultCallTimeout, requester: client, cachedStatuses: make(map[fuchsiapitch.ServerID]cachedStatus)}
	for _, set := range options {
		set(o)
	}
	return o, closeConnections
}

// EngineStatus implements fuchsiapitch.EngineControl. If the engine sets entity tags, it does
// not send an unchanged status again, and the cached one is returned.
func (o *Orderer) EngineStatus(ctx context.Context, server fuchsiapitch.BackendServer) (fuchsiapitch.EngineStatus, error) {
	const action = "account"
	cached, isCached := o.loadCache(server)
	request := requester.Request{Method: http.MethodGet, URL: "http://" + server.Address() + "/account", Timeout: o.callTimeout}
	if isCached {
		request.Header = map[string]string{ifNoneMatchHeader: cached.entityTag}
	}
	response, err := o.requester.Send(ctx, request)
	if err != nil {
		return fuchsiapitch.EngineStatus{}, unreachableError(server, action, err)
	}
	if response.Status == http.StatusNotModified && isCached {
		return cached.status, nil
	}
	if response.Status != http.StatusOK {
		return fuchsiapitch.EngineStatus{}, unreachableError(server, action, &requester.StatusError{Status: response.Status})
	}
	status, err := decodeStatusOf(server, action, response.Body)
	if err != nil {
		return fuchsiapitch.EngineStatus{}, err
	}
	o.storeCache(server, response.Header.Get(entityTagHeader), status)
	return status, nil
}

// Order implements fuchsiapitch.EngineControl. An engine that enforces fencing rejects an
// order with a stale fencing token with status 409 Conflict.
func (o *Orderer) Order(ctx context.Context, server fuchsiapitch.BackendServer, order fuchsiapitch.Order) (fuchsiapitch.EngineStatus, error) {
	const action = "order"
	response, err := o.send(ctx, server, action, http.MethodPost, "/orders", encodeOrder(order))
	if err != nil {
		return fuchsiapitch.EngineStatus{}, err
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return fuchsiapitch.EngineStatus{}, unreachableError(server, action, &requester.StatusError{Status: response.Status})
	}
	status, err := decodeStatusOf(server, action, response.Body)
	if err != nil {
		return fuchsiapitch.EngineStatus{}, err
	}
	if response.Status == http.StatusConflict {
		return status, &fuchsiapitch.StaleFencingTokenError{Server: server.ID(), OrderToken: order.FencingToken(), HighestToken: status.FencingToken()}
	}
	return status, nil
}

// CacheEvents implements fuchsiapitch.EngineControl.
func (o *Orderer) CacheEvents(ctx context.Context, server fuchsiapitch.BackendServer, afterSequence uint64) ([]fuchsiapitch.CacheEvent, error) {
	const action = "cache events"
	path := "/cache-events?after=" + strconv.FormatUint(afterSequence, 10)
	response, err := o.send(ctx, server, action, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, unreachableError(server, action, &requester.StatusError{Status: response.Status})
	}
	events, err := decodeCacheEvents(response.Body)
	if err != nil {
		return nil, unreachableError(server, action, err)
	}
	return events, nil
}

func (o *Orderer) send(ctx context.Context, server fuchsiapitch.BackendServer, action, method, path string, body []byte) (requester.Response, error) {
	response, err := o.requester.Send(ctx, requester.Request{
		Method: method, URL: "http://" + server.Address() + path, Body: body, Timeout: o.callTimeout,
	})
	if err != nil {
		return requester.Response{}, unreachableError(server, action, err)
	}
	return response, nil
}

// decodeStatusOf decodes the status of a server. A status of another engine, which may
// use the address now, counts as no response.
func decodeStatusOf(server fuchsiapitch.BackendServer, action string, data []byte) (fuchsiapitch.EngineStatus, error) {
	status, err := decodeStatus(data)
	if err != nil {
		return fuchsiapitch.EngineStatus{}, unreachableError(server, action, err)
	}
	if status.Server() != server.ID() {
		return fuchsiapitch.EngineStatus{}, unreachableError(server, action, &UnexpectedServerError{Actual: status.Server()})
	}
	return status, nil
}

func unreachableError(server fuchsiapitch.BackendServer, action string, err error) error {
	return &fuchsiapitch.UnreachableError{Address: server.Address(), Action: action, Err: err}
}
