package requester

import (
	"context"
	"time"
)

// attempt is one sending of a request that is sent several times.
type attempt struct {
	isFirst bool
	cancel  context.CancelFunc
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt  *attempt
	response Response
	err      error
}

// repetition is a request with its attempts in flight. responding receives each attempt whose
// response begins, and results each that ends.
type repetition struct {
	requester  *Requester
	request    Request
	inFlight   map[*attempt]struct{}
	responding chan *attempt
	results    chan attemptResult
}

// sendRepeatedly sends a request, and again every repeatInterval until a response begins. The
// attempt that receives it goes on alone. No attempt is given up before, as the server may be slow
// to respond to all of them. The failure of the first attempt is then that of the request.
func (r *Requester) sendRepeatedly(ctx context.Context, request Request) (Response, error) {
	p := &repetition{
		requester: r, request: request, inFlight: make(map[*attempt]struct{}),
		responding: make(chan *attempt), results: make(chan attemptResult),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer p.awaitEnd()
	defer cancel()
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	p.start(ctx, true)
	var chosen *attempt
	for {
		select {
		case <-ticker.C:
			r.transport.CloseIdleConnections()
			p.start(ctx, false)
		case a := <-p.responding:
			if chosen == nil {
				chosen = a
				ticker.Stop()
				p.cancelOthers(a)
			}
		case result := <-p.results:
			delete(p.inFlight, result.attempt)
			if result.attempt == chosen || chosen == nil && result.attempt.isFirst {
				return result.response, result.err
			}
		}
	}
}

// start starts an attempt on a goroutine that sends its result.
func (p *repetition) start(ctx context.Context, isFirst bool) {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{isFirst: isFirst, cancel: cancel}
	p.inFlight[a] = struct{}{}
	go func() {
		defer cancel()
		response, err := p.requester.sendAttempt(ctx, p.request, func() {
			select {
			case p.responding <- a:
			case <-ctx.Done():
			}
		})
		p.results <- attemptResult{attempt: a, response: response, err: err}
	}()
}

// cancelOthers cancels all attempts but one.
func (p *repetition) cancelOthers(chosen *attempt) {
	for a := range p.inFlight {
		if a != chosen {
			a.cancel()
		}
	}
}

// awaitEnd waits until all attempts have ended, whose context has.
func (p *repetition) awaitEnd() {
	for range len(p.inFlight) {
		<-p.results
	}
}
