package engine

import (
	"errors"
	"testing"
	"testing/synctest"
)

// Guards against a response without an end: a token and the abort of the group arrive between two
// looks of the handler, which gets one signal for both.
func TestAbortRightAfterTokenEndsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{}
		s := &sequence{stateAtArrival: &engineState{}, tokenLimit: 10, progressSignal: make(chan struct{}, 1)}
		result, delivered := make(chan error, 1), int64(0)
		go func() {
			result <- e.deliverTokens(t.Context(), s, func(_, generated int64) error {
				delivered = generated
				return nil
			})
		}()
		synctest.Wait()
		s.generatedTokens.Store(1)
		s.isAborted.Store(true)
		s.notifyHandler()
		var incomplete *IncompleteGroupError
		if err := <-result; !errors.As(err, &incomplete) {
			t.Errorf("got error %v, want an IncompleteGroupError", err)
		}
		if got, want := delivered, int64(1); got != want {
			t.Errorf("got %d tokens delivered, want %d", got, want)
		}
	})
}
