// Package orderer speaks the management calls of model engines over HTTP. It
// implements fuchsiapitch.Controls.
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
	maxAnswerBytes = 4 << 20
	defaultTimeout = time.Second
)

// Orderer is a client of the management calls of every engine.
type Orderer struct {
	timeout   time.Duration
	requester *requester.Requester

	mutex    sync.Mutex
	accounts map[fuchsiapitch.ServerID]tagged
}

// Option sets one optional property of an orderer.
type Option func(*Orderer)

// WithTimeout limits the time of one call.
func WithTimeout(timeout time.Duration) Option { return func(o *Orderer) { o.timeout = timeout } }

// New returns a client. Without options a call may take 1 s. The clean-up
// function closes the kept connections.
func New(options ...Option) (*Orderer, func()) {
	q, cleanUp := requester.New(maxAnswerBytes)
	o := &Orderer{timeout: defaultTimeout, requester: q, accounts: make(map[fuchsiapitch.ServerID]tagged)}
	for _, set := range options {
		set(o)
	}
	return o, cleanUp
}

// EngineStatus implements fuchsiapitch.Controls. An account that has not changed is
// not sent again by an engine that sets entity tags.
func (o *Orderer) EngineStatus(ctx context.Context, server fuchsiapitch.BackendServer) (fuchsiapitch.EngineStatus, error) {
	const action = "account"
	last, known := o.remembered(server)
	request := requester.Request{Method: http.MethodGet, URL: "http://" + server.Address() + "/account", Timeout: o.timeout}
	if known {
		request.Header = map[string]string{matchHeader: last.tag}
	}
	answer, err := o.requester.Send(ctx, request)
	if err != nil {
		return fuchsiapitch.EngineStatus{}, unreachable(server, action, err)
	}
	if answer.Status == http.StatusNotModified && known {
		return last.account, nil
	}
	if answer.Status != http.StatusOK {
		return fuchsiapitch.EngineStatus{}, unreachable(server, action, &requester.StatusError{Status: answer.Status})
	}
	account, err := readAccount(server, action, answer.Body)
	if err != nil {
		return fuchsiapitch.EngineStatus{}, err
	}
	o.remember(server, answer.Header.Get(entityTagHeader), account)
	return account, nil
}

// Order implements fuchsiapitch.Controls.
func (o *Orderer) Order(ctx context.Context, server fuchsiapitch.BackendServer, order fuchsiapitch.Order) (fuchsiapitch.EngineStatus, error) {
	const action = "order"
	answer, err := o.send(ctx, server, action, http.MethodPost, "/orders", encodeOrder(order))
	if err != nil {
		return fuchsiapitch.EngineStatus{}, err
	}
	if answer.Status != http.StatusOK && answer.Status != http.StatusConflict {
		return fuchsiapitch.EngineStatus{}, unreachable(server, action, &requester.StatusError{Status: answer.Status})
	}
	account, err := readAccount(server, action, answer.Body)
	if err != nil {
		return fuchsiapitch.EngineStatus{}, err
	}
	if answer.Status == http.StatusConflict {
		return account, &fuchsiapitch.StaleFencingTokenError{Server: server.ID(), OrderToken: order.FencingToken(), HighestToken: account.FencingToken()}
	}
	return account, nil
}

// CacheEvents implements fuchsiapitch.Controls.
func (o *Orderer) CacheEvents(ctx context.Context, server fuchsiapitch.BackendServer, after uint64) ([]fuchsiapitch.CacheEvent, error) {
	const action = "cache events"
	path := "/cache-events?after=" + strconv.FormatUint(after, 10)
	answer, err := o.send(ctx, server, action, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, unreachable(server, action, &requester.StatusError{Status: answer.Status})
	}
	events, err := decodeCacheEvents(answer.Body)
	if err != nil {
		return nil, unreachable(server, action, err)
	}
	return events, nil
}

func (o *Orderer) send(ctx context.Context, server fuchsiapitch.BackendServer, action, method, path string, body []byte) (requester.Answer, error) {
	answer, err := o.requester.Send(ctx, requester.Request{
		Method: method, URL: "http://" + server.Address() + path, Body: body, Timeout: o.timeout,
	})
	if err != nil {
		return requester.Answer{}, unreachable(server, action, err)
	}
	return answer, nil
}

// readAccount decodes an account. An account of another engine, which a reused
// address may bring, counts as no answer.
func readAccount(server fuchsiapitch.BackendServer, action string, data []byte) (fuchsiapitch.EngineStatus, error) {
	account, err := decodeAccount(data)
	if err != nil {
		return fuchsiapitch.EngineStatus{}, unreachable(server, action, err)
	}
	if account.Server() != server.ID() {
		return fuchsiapitch.EngineStatus{}, unreachable(server, action, &IdentityError{Got: account.Server()})
	}
	return account, nil
}

func unreachable(server fuchsiapitch.BackendServer, action string, err error) error {
	return &fuchsiapitch.UnreachableError{Address: server.Address(), Action: action, Err: err}
}
