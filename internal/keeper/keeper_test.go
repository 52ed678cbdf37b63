package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// fakeCluster is a host with set quarantines.
type fakeCluster struct {
	quarantines   []quarantiner.Quarantine
	restored      []quarantiner.Quarantine
	restoreCount  int
	keeps, isFull bool
}

func (c *fakeCluster) Quarantines() []quarantiner.Quarantine { return c.quarantines }
func (c *fakeCluster) HasRoomForQuarantines() bool           { return !c.isFull }
func (c *fakeCluster) KeepsQuarantines() bool                { return c.keeps }
func (c *fakeCluster) ReadsQuarantines() bool                { return true }

func (c *fakeCluster) RestoreQuarantines(stored []quarantiner.Quarantine) {
	c.restored, c.restoreCount = stored, c.restoreCount+1
	c.quarantines = stored
}

// countingStore counts the calls, and fails while it is away.
type countingStore struct {
	*platform.StoreClient
	calls  int
	isAway bool
}

type awayError struct{}

// Error implements error.
func (awayError) Error() string { return "store is away" }

func (s *countingStore) Newest(ctx context.Context, topic string) (platform.Page, error) {
	if s.calls++; s.isAway {
		return platform.Page{}, awayError{}
	}
	return s.StoreClient.Newest(ctx, topic)
}

func (s *countingStore) Append(ctx context.Context, a platform.AppendRequest) (int64, error) {
	if s.calls++; s.isAway {
		return 0, awayError{}
	}
	return s.StoreClient.Append(ctx, a)
}

// testStore is a stand-in of the store with the era that it last stated.
type testStore struct {
	*standin.Store
	address string
	era     int64
}

func newTestStore(t *testing.T) *testStore {
	t.Helper()
	store := standin.NewStore()
	store.StateEra()
	endpoint, stop, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return &testStore{Store: store, address: endpoint.Address()}
}

// newKeeper returns the keeper of a host.
func (s *testStore) newKeeper(host string, c Cluster) (*Keeper, *countingStore) {
	client := &countingStore{StoreClient: platform.NewStoreClient(s.address, http.DefaultTransport, platform.WithEraObserver(func(era int64) { s.era = era }))}
	return New(client, appender.New(client, platform.QuarantinesTopic, host, 1), c, WithEra(func() int64 { return s.era })), client
}

// synchronise lets a keeper read and write until nothing is left to do.
func synchronise(t *testing.T, k *Keeper) {
	t.Helper()
	for range 3 {
		if err := k.synchronise(t.Context()); err != nil {
			t.Fatalf("got error %v", err)
		}
	}
}

// assertRestored checks what a host that starts restores: parts and used permits.
func (s *testStore) assertRestored(t *testing.T, want ...string) {
	t.Helper()
	c := &fakeCluster{}
	k, _ := s.newKeeper("starting", c)
	synchronise(t, k)
	var got []string
	for _, q := range c.restored {
		got = append(got, fmt.Sprintf("%d/%d", q.Part, q.Used))
	}
	// The store has no order of records.
	slices.Sort(got)
	if !slices.Equal(got, want) || c.restoreCount != 1 {
		t.Errorf("got quarantines %v restored %d times, want %v once", got, c.restoreCount, want)
	}
}

// Guards against quarantines that do not outlive the hosts, or not with their used permits, and records that remain
// when a part is free.
func TestQuarantinesOutliveHosts(t *testing.T) {
	s, c := newTestStore(t), &fakeCluster{keeps: true}
	k, client := s.newKeeper("a", c)
	synchronise(t, k)
	c.quarantines = []quarantiner.Quarantine{{Part: 7, Rivals: []quarantiner.Part{8}}, {Part: 8, Used: 1, Rivals: []quarantiner.Part{7}}}
	synchronise(t, k)
	s.assertRestored(t, "7/0", "8/1")
	c.quarantines[0].Used = 2
	synchronise(t, k)
	s.assertRestored(t, "7/2", "8/1")
	calls := client.calls
	c.quarantines[0].Age = time.Minute
	synchronise(t, k)
	if client.calls != calls {
		t.Errorf("got %d calls of the store without a change, want none", client.calls-calls)
	}
	c.quarantines = c.quarantines[:1]
	synchronise(t, k)
	s.assertRestored(t, "7/2")
	c.quarantines = nil
	synchronise(t, k)
	s.assertRestored(t)
}

// Guards against hosts that all pay for the same write, and against a record that stays when the host that wrote it is
// gone.
func TestOnlyKeepersWrite(t *testing.T) {
	s, writer, other := newTestStore(t), &fakeCluster{keeps: true}, &fakeCluster{}
	k, _ := s.newKeeper("a", writer)
	o, client := s.newKeeper("b", other)
	synchronise(t, k)
	synchronise(t, o)
	writer.quarantines = []quarantiner.Quarantine{{Part: 7}}
	other.quarantines = writer.quarantines
	synchronise(t, k)
	synchronise(t, o)
	if got, want := client.calls, 1; got != want {
		t.Errorf("got %d calls of the store by a host that does not keep quarantines, want %d", got, want)
	}
	other.keeps, other.quarantines = true, nil
	synchronise(t, o)
	s.assertRestored(t)
	if other.restoreCount != 1 {
		t.Errorf("got %d restorations at a host that runs on, want 1", other.restoreCount)
	}
}

// Guards against quarantines that are lost, or come back, with a store that goes back or is away.
func TestQuarantinesOutliveTroubleOfStore(t *testing.T) {
	t.Run("gone back before the quarantine", func(t *testing.T) {
		s, c := newTestStore(t), &fakeCluster{keeps: true}
		k, _ := s.newKeeper("a", c)
		synchronise(t, k)
		copied := s.Copy()
		c.quarantines = []quarantiner.Quarantine{{Part: 7, Used: 1}}
		synchronise(t, k)
		s.GoBack(copied)
		s.era++ // As another call tells.
		synchronise(t, k)
		s.assertRestored(t, "7/1")
	})
	t.Run("gone back before its end", func(t *testing.T) {
		s, c := newTestStore(t), &fakeCluster{keeps: true}
		k, _ := s.newKeeper("a", c)
		synchronise(t, k)
		c.quarantines = []quarantiner.Quarantine{{Part: 7}}
		synchronise(t, k)
		copied := s.Copy()
		c.quarantines = nil
		synchronise(t, k)
		s.GoBack(copied)
		s.era++
		synchronise(t, k)
		s.assertRestored(t)
	})
	t.Run("away", func(t *testing.T) {
		s, c := newTestStore(t), &fakeCluster{keeps: true}
		k, client := s.newKeeper("a", c)
		synchronise(t, k)
		client.isAway = true
		c.quarantines = []quarantiner.Quarantine{{Part: 7}}
		if err := k.synchronise(t.Context()); err == nil {
			t.Error("got no error, want that of the store")
		}
		client.isAway = false
		synchronise(t, k)
		s.assertRestored(t, "7/0")
	})
}

// Guards against a host that no longer has room and deletes what it could not restore.
func TestFullHostDeletesNothing(t *testing.T) {
	s, c := newTestStore(t), &fakeCluster{keeps: true}
	k, _ := s.newKeeper("a", c)
	synchronise(t, k)
	c.quarantines = []quarantiner.Quarantine{{Part: 7}}
	synchronise(t, k)
	c.quarantines, c.isFull = nil, true
	synchronise(t, k)
	s.assertRestored(t, "7/0")
}

// Guards against records that no host has written, or that were written under a clock that was ahead.
func TestOddRecordsAreIgnored(t *testing.T) {
	now := time.Now()
	valid := encode(quarantiner.Quarantine{Part: 7, Age: -time.Minute, Used: 1}, now)
	if q, ok := decode(platform.Record{Key: quarantiner.Part(7).String(), Value: valid}, now); !ok || q.Age != 0 {
		t.Errorf("got %v and age %s, want a quarantine of age 0", ok, q.Age)
	}
	for name, r := range map[string]platform.Record{
		"key": {Key: "seven", Value: valid}, "value": {Key: quarantiner.Part(7).String(), Value: json.RawMessage(`{"used":"x"}`)},
		"negative": {Key: quarantiner.Part(7).String(), Value: json.RawMessage(`{"used":-1}`)}, "deleted": {Key: quarantiner.Part(7).String()},
	} {
		t.Run(name, func(t *testing.T) {
			if q, ok := decode(r, now); ok {
				t.Errorf("got %v, want none", q)
			}
		})
	}
}
