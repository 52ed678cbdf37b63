package platformassembler

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/rewinder"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// registrationSpread is the time over which the hosts register anew after the store has
	// gone back.
	registrationSpread = time.Second
)

// eraState is what a host knows of the era of the store.
type eraState struct {
	mutex sync.Mutex
	watch rewinder.Watch
	// goneBackAt is when the store last went back, the start of the host if it has not.
	goneBackAt time.Time
	// registrations receives a value each time that the host has to register anew.
	registrations chan struct{}
}

func newEraState() *eraState {
	return &eraState{goneBackAt: time.Now(), registrations: make(chan struct{}, 1)}
}

// observe returns the era before an answer, and whether the store has gone back since.
func (e *eraState) observe(era int64) (previous int64, hasRisen bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	previous, hasRisen = e.watch.Era(), e.watch.Observe(era)
	if hasRisen {
		e.goneBackAt = time.Now()
	}
	return previous, hasRisen
}

// current returns the era, and how often the store has gone back since the start.
func (e *eraState) current() (era int64, rises int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.watch.Era(), e.watch.Rises()
}

func (e *eraState) isCatchingUp() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return time.Since(e.goneBackAt) < catchUpPeriod
}

// observeEra processes the era that an answer of the store states. If the store has gone back, all
// cached offsets are void and the host's own record may be gone.
func (h *Host) observeEra(era int64) {
	previous, hasRisen := h.era.observe(era)
	if previous == 0 {
		h.log.Info().Int64("era", era).Msg("store states its era")
	}
	if !hasRisen {
		return
	}
	h.meter.CountStoreRewind()
	h.log.Warn().Int64("era", era).Int64("previous-era", previous).Msg("store has gone back: reading its topics again and registering anew")
	now := time.Now()
	for _, t := range h.longPollTrackers {
		t.Reconnect(now)
	}
	select {
	case h.era.registrations <- struct{}{}:
	default:
	}
}

// register registers the host's address in the store, and retries until it succeeds. It registers
// anew each time that the store has gone back.
func (h *Host) register(ctx context.Context) error {
	value, err := json.Marshal(hostRecord{Address: h.self.Address, DataCentre: string(h.self.DataCentre), Capacity: h.self.Capacity})
	if err != nil {
		return err
	}
	hostAppender := appender.New(h.pacedStore, platform.HostsTopic, string(h.self.ID), h.startedUnixMillis)
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, registrationRetryInterval)
		_, err := hostAppender.Append(attemptCtx, string(h.self.ID), value, -1)
		cancel()
		pause := registrationRetryInterval
		if err != nil {
			h.log.Info().Err(err).Msg("failed to register the host in the store")
		} else {
			select {
			case <-h.era.registrations:
				pause = rand.N(registrationSpread)
			case <-ctx.Done():
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}
