// Package keeper keeps the quarantined parts of prompts in the platform's store, since the memory of the hosts is gone
// when all of them end at once. A host that starts reads them, and a few hosts write what has changed.
package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// interval is the time between two comparisons with the store, startInterval the same until the first read.
	interval      = 100 * time.Millisecond
	startInterval = 25 * time.Millisecond
	// callTimeout bounds a call of the store, which responds within half a second if it is slow.
	callTimeout = 1500 * time.Millisecond
	// minBackOff and maxBackOff bound the pause after a failed call, which doubles with each failure.
	minBackOff = 200 * time.Millisecond
	maxBackOff = time.Second
)

// Store reads the topic of the quarantines.
type Store interface {
	Newest(ctx context.Context, topic string) (platform.Page, error)
}

// Appender appends records to the topic of the quarantines.
type Appender interface {
	// AppendInEra appends a record, in any era if era is 0. A negative expectedEnd is any.
	AppendInEra(ctx context.Context, key string, value []byte, expectedEnd, era int64) (int64, error)
}

// Cluster is what a host knows of the quarantines.
type Cluster interface {
	// Quarantines returns the quarantines that have to be in the store.
	Quarantines() []quarantiner.Quarantine
	// HasRoomForQuarantines reports whether the host has all quarantines. Those that a full host has no room for
	// have not ended.
	HasRoomForQuarantines() bool
	// KeepsQuarantines reports whether the host is one of those that keep the quarantines in the store.
	KeepsQuarantines() bool
	// ReadsQuarantines reports whether the host reads the quarantines in the store. Others tell it of them otherwise.
	ReadsQuarantines() bool
	// RestoreQuarantines adopts the quarantines in the store.
	RestoreQuarantines(stored []quarantiner.Quarantine)
}

// Keeper keeps the quarantines of one host in the store.
type Keeper struct {
	store    Store
	appender Appender
	cluster  Cluster
	log      zerolog.Logger
	// currentEra returns the latest era of the store, 0 if it states none.
	currentEra func() int64

	// isRestored is true once the host has adopted what was stored.
	isRestored bool
	// stored are the quarantines in the store as far as the host knows, nil if it has to read them.
	stored map[quarantiner.Part]storedQuarantine
	// era is the era of stored.
	era int64
}

// storedQuarantine is a quarantine with the time at which its ages hold.
type storedQuarantine struct {
	quarantiner.Quarantine
	at time.Time
}

// Option sets one optional property of a keeper.
type Option func(*Keeper)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(k *Keeper) { k.log = log } }

// WithEra sets a function that returns the latest era of the store, 0 if it states none. What was written in an
// earlier one may be gone.
func WithEra(current func() int64) Option { return func(k *Keeper) { k.currentEra = current } }

// New returns a keeper.
func New(store Store, appender Appender, cluster Cluster, options ...Option) *Keeper {
	k := &Keeper{store: store, appender: appender, cluster: cluster, log: zerolog.Nop(), currentEra: func() int64 { return 0 }}
	for _, o := range options {
		o(k)
	}
	return k
}

// Serve keeps the quarantines until the context ends. It implements suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	backOff := minBackOff
	for ctx.Err() == nil {
		pause := interval
		if !k.isRestored {
			pause = startInterval
		}
		if err := k.synchronise(ctx); err != nil && ctx.Err() == nil {
			k.log.Info().Err(err).Msg("quarantines cannot be kept in the store")
			pause, backOff = backOff/2+rand.N(backOff), min(2*backOff, maxBackOff)
		} else {
			backOff = minBackOff
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// synchronise reads the store if that is due, and writes what has changed.
func (k *Keeper) synchronise(ctx context.Context) error {
	keeps := k.cluster.KeepsQuarantines()
	switch {
	case !k.isRestored && k.cluster.ReadsQuarantines():
		return k.read(ctx)
	case !keeps:
		// Others write meanwhile.
		k.stored = nil
		return nil
	case k.stored == nil || k.era < k.currentEra():
		return k.read(ctx)
	}
	return k.write(ctx)
}

// read reads what is stored. The host adopts it once: later on it knows as much from the other hosts, and more.
func (k *Keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := k.store.Newest(ctx, platform.QuarantinesTopic)
	if err != nil {
		return err
	}
	now := time.Now()
	stored := make(map[quarantiner.Part]storedQuarantine)
	var list []quarantiner.Quarantine
	for _, r := range page.Records {
		if q, ok := decode(r, now); ok {
			stored[q.Part] = storedQuarantine{q, now}
			list = append(list, q)
		}
	}
	k.stored, k.era = stored, page.Era
	if !k.isRestored {
		k.isRestored = true
		k.cluster.RestoreQuarantines(list)
		k.log.Info().Int("quarantines", len(list)).Msg("quarantines restored from the store")
	}
	return nil
}

// write writes the quarantines that differ from those in the store, and deletes those that have ended.
func (k *Keeper) write(ctx context.Context) error {
	now := time.Now()
	current := make(map[quarantiner.Part]bool)
	for _, q := range k.cluster.Quarantines() {
		current[q.Part] = true
		if s, ok := k.stored[q.Part]; ok && !q.Differs(s.asOf(now)) {
			continue
		}
		if err := k.append(ctx, q.Part, encode(q, now)); err != nil {
			return err
		}
		k.stored[q.Part] = storedQuarantine{q, now}
	}
	for p := range k.stored {
		if current[p] || !k.cluster.HasRoomForQuarantines() {
			continue
		}
		if err := k.append(ctx, p, nil); err != nil {
			return err
		}
		delete(k.stored, p)
	}
	return nil
}

// append writes the record of a part. A record that may be in another era is forgotten with all others, so that
// they are read again.
func (k *Keeper) append(ctx context.Context, p quarantiner.Part, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := k.appender.AppendInEra(ctx, p.String(), value, -1, k.era)
	var changed *platform.EraChangedError
	if errors.As(err, &changed) {
		k.stored = nil
	}
	return err
}

// asOf returns the quarantine with its ages at a time.
func (s storedQuarantine) asOf(now time.Time) quarantiner.Quarantine {
	q := s.Quarantine
	elapsed := max(0, now.Sub(s.at))
	q.Age, q.IdleFor, q.SinceUse = q.Age+elapsed, q.IdleFor+elapsed, q.SinceUse+elapsed
	return q
}
