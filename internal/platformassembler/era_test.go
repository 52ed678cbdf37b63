package platformassembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/pacer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/rewinder"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// newEraStore returns a store that states its era, and a client of it.
func newEraStore(t *testing.T) (*standin.Store, *platform.StoreClient) {
	t.Helper()
	store := standin.NewStore()
	store.StateEra()
	endpoint, stop, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return store, platform.NewStoreClient(endpoint.Address(), http.DefaultTransport)
}

// Guards against two controllers with one claim: the store goes back behind the claim of the
// first host, and gives its offset to the second one.
func TestClaimIsNotGivenOutAgain(t *testing.T) {
	store, client := newEraStore(t)
	beforeClaims := store.Copy()
	first, err := newClaimer(client, "a", 1).Claim(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	store.GoBack(beforeClaims)
	// The second host has heard of no claim.
	second, err := newClaimer(client, "b", 2).Claim(t.Context(), 0)
	if err != nil || second.Number <= first.Number {
		t.Errorf("got claim %d with error %v, want one above %d", second.Number, err, first.Number)
	}
}

// goingBackStore goes back between the read and the append of a claim.
type goingBackStore struct {
	pacer.Store
	goBack func()
}

func (s *goingBackStore) Append(ctx context.Context, a platform.AppendRequest) (int64, error) {
	if s.goBack != nil {
		s.goBack()
		s.goBack = nil
	}
	return s.Store.Append(ctx, a)
}

// Guards against a claim that is sent in one era and appended in the next, where its offset may
// belong to another host's lost claim.
func TestClaimAppendedInLaterEraIsNotUsed(t *testing.T) {
	store, client := newEraStore(t)
	beforeClaims := store.Copy()
	lost, err := newClaimer(client, "a", 1).Claim(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	store.GoBack(beforeClaims)
	copied := store.Copy()
	c := newClaimer(&goingBackStore{Store: client, goBack: func() { store.GoBack(copied) }}, "b", 2)
	var eraChanged *platform.EraChangedError
	if claim, err := c.Claim(t.Context(), 0); !errors.As(err, &eraChanged) {
		t.Errorf("got claim %d with error %v, want %T", claim.Number, err, eraChanged)
	}
	t.Run("read afterwards", func(t *testing.T) {
		page, err := client.Newest(t.Context(), platform.ClaimsTopic)
		if err != nil || len(page.Records) != 1 {
			t.Fatalf("got %v with error %v, want the claim", page.Records, err)
		}
		if claim, ok := decodeClaimRecord(page.Records[0], page.Era); !ok || claim.Incarnation == 2 {
			t.Errorf("got %v, want a claim that its writer does not use", claim)
		}
	})
	t.Run("claimed again", func(t *testing.T) {
		// The claim in the store is above the known one, so it is learned first.
		first, err := c.Claim(t.Context(), lost.Number)
		if err != nil {
			t.Fatal(err)
		}
		claim, err := c.Claim(t.Context(), first.Number)
		if err != nil || claim.Number <= lost.Number || claim.Incarnation != 2 {
			t.Errorf("got %v with error %v, want a claim above %d", claim, err, lost.Number)
		}
	})
}

// Guards against a writer that never gets another record into the store that has forgotten its
// last ones.
func TestAppenderGoesOnAfterStoreWentBack(t *testing.T) {
	store, client := newEraStore(t)
	a := appender.New(client, platform.HostsTopic, "host", 5)
	var copied standin.Copy
	for n := range 4 {
		if n == 2 {
			copied = store.Copy()
		}
		if _, err := a.Append(t.Context(), "host", []byte(fmt.Sprint(n)), -1); err != nil {
			t.Fatal(err)
		}
	}
	store.GoBack(copied)
	offset, err := a.Append(t.Context(), "host", []byte("again"), -1)
	if got, want := offset, int64(2); err != nil || got != want {
		t.Errorf("got offset %d with error %v, want %d", got, err, want)
	}
}

// trackValues follows a topic, and returns a function that waits for a value of a key.
func trackValues(t *testing.T, store tracker.Store, topic, key string, options ...tracker.Option) (await func(want string)) {
	t.Helper()
	updates := make(chan tracker.Update, 1000)
	tr := tracker.New(store, topic, func(u tracker.Update) { updates <- u }, options...)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- tr.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-served })
	value := ""
	return func(want string) {
		t.Helper()
		timeout := time.After(awaitTimeout)
		for value != want {
			select {
			case u := <-updates:
				if u.IsSnapshot {
					value = ""
				}
				for _, r := range u.Records {
					if r.Key == key {
						value = string(r.Value)
					}
				}
			case <-timeout:
				t.Fatalf("got %q, want %q", value, want)
			}
		}
	}
}

func TestCachedOffsetIsVoidAfterStoreWentBack(t *testing.T) {
	const topic = "keyed.topic"
	options := []tracker.Option{tracker.WithLongPoll(time.Second), tracker.WithInterval(time.Millisecond)}
	t.Run("beyond the end", func(t *testing.T) {
		store, client := newEraStore(t)
		copied := store.Copy()
		await := trackValues(t, client, topic, "k", options...)
		store.WriteRecord(topic, "k", []byte("lost"))
		await("lost")
		store.GoBack(copied)
		await("")
	})
	t.Run("given out again", func(t *testing.T) {
		store, client := newEraStore(t)
		copied := store.Copy()
		gate := &gatedStore{Store: client}
		await := trackValues(t, gate, topic, "k", options...)
		store.WriteRecord(topic, "k", []byte("lost"))
		store.WriteRecord(topic, "other", []byte("lost"))
		await("lost")
		gate.mutex.Lock()
		store.GoBack(copied)
		store.WriteRecord(topic, "k", []byte("new"))
		store.WriteRecord(topic, "other", []byte("new"))
		gate.mutex.Unlock()
		await("new")
	})
	t.Run("written again by others", func(t *testing.T) {
		store, client := newEraStore(t)
		store.WriteRecord(topic, "k", []byte("ready"))
		copied := store.Copy()
		await := trackValues(t, client, topic, "k", append(options, tracker.WithRetention())...)
		store.WriteRecord(topic, "k", []byte("leaving"))
		await("leaving")
		store.GoBack(copied)
		wentBackAt := time.Now()
		await("ready")
		if got, want := time.Since(wentBackAt), 2*time.Second; got < want {
			t.Errorf("got the entry of the copy after %v, want it withheld for %v", got, want)
		}
	})
}

// gatedStore is a store whose reads do not start while the mutex is locked.
type gatedStore struct {
	tracker.Store
	mutex sync.Mutex
}

// Read implements tracker.Store. It does not wait for records, so that no read is in progress for
// long.
func (s *gatedStore) Read(ctx context.Context, topic string, from int64, _ time.Duration) (platform.Page, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Store.Read(ctx, topic, from, 0)
}

// The records of the hosts and a configuration are gone. The hosts register anew, go on with the
// configuration that was in force, and follow the next one, whose offset they have read before.
func TestHostsSurviveStoreThatWentBack(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.Store.StateEra()
	client := platform.NewStoreClient(c.StoreEndpoint(hostName(0)).Address(), http.DefaultTransport)
	for n := range 2 {
		c.Store.WriteRecord(platform.HostsTopic, hostName(n), nil)
	}
	copied := c.Store.Copy()
	c.Store.PublishConfiguration(standin.Configuration(2))
	c.awaitVersion(t, 2)
	c.Store.SetOutage(true)
	time.Sleep(300 * time.Millisecond)
	c.Store.GoBack(copied)
	c.Store.SetOutage(false)
	c.await(t, "registration of both hosts", func() bool {
		page, err := client.Newest(t.Context(), platform.HostsTopic)
		return err == nil && len(page.Records) == 2
	})
	c.awaitVersion(t, 2)
	c.assertStream(t, 0)
	c.Store.PublishConfiguration(standin.Configuration(3))
	c.awaitVersion(t, 3)
	if got := c.fetchStatus(t, 1); got.StoreEra != 2 || got.StoreRewinds != 1 {
		t.Errorf("got era %d after %d rewinds, want 2 after 1", got.StoreEra, got.StoreRewinds)
	}
	if got, want := c.fetchMetrics(t, 1), "fuchsiapitch_store_rewinds_total 1"; !strings.Contains(got, want) {
		t.Errorf("got metrics without %q", want)
	}
}

// A host starts after the store has lost a configuration and before the operator has written it
// again. It takes the configuration from the other host.
func TestStartingHostTakesConfigurationThatTheStoreLost(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.Store.StateEra()
	copied := c.Store.Copy()
	c.Store.PublishConfiguration(standin.Configuration(2))
	c.awaitVersion(t, 2)
	close(c.stopChannels[1])
	<-c.serveResults[1]
	c.Store.GoBack(copied)
	ctx, cancel := context.WithCancel(context.Background())
	c.startHost(ctx, t, 1)
	t.Cleanup(cancel)
	c.awaitReady(t, 1)
	c.await(t, "lost configuration", func() bool { return c.fetchStatus(t, 1).ConfigurationVersion == 2 })
}

// An evacuation that the store has lost stays in force. Written again and withdrawn at lower offsets
// than before, it ends.
func TestEvacuationOutlivesStoreThatWentBack(t *testing.T) {
	t.Parallel()
	const key = "evacuate/z9"
	c := newTestCluster(t, 1)
	c.Store.StateEra()
	copied := c.Store.Copy()
	for range 20 {
		c.Store.WriteRecord(platform.OperatorTopic, "other", []byte("{}"))
	}
	isEvacuated := func() bool {
		status := c.fetchStatus(t, 0)
		return len(status.Evacuations) == 1 && status.Evacuations[0].Evacuated
	}
	c.Store.WriteRecord(platform.OperatorTopic, key, []byte("{}"))
	c.await(t, "evacuation", isEvacuated)
	c.Store.GoBack(copied)
	c.await(t, "new era", func() bool { return c.fetchStatus(t, 0).StoreRewinds == 1 })
	for until := time.Now().Add(rewinder.Grace + time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if !isEvacuated() {
			t.Fatal("got the evacuation ended, want it in force")
		}
	}
	c.Store.WriteRecord(platform.OperatorTopic, key, []byte("{}"))
	c.Store.WriteRecord(platform.OperatorTopic, key, nil)
	c.await(t, "end of the evacuation", func() bool { return !isEvacuated() })
}

// awaitVersion waits until a configuration is in force at all hosts, and checks that none has an
// earlier one than before.
func (c *testCluster) awaitVersion(t *testing.T, want int64) {
	t.Helper()
	c.await(t, "configuration", func() bool {
		for n := range c.clientAddresses {
			got := c.fetchStatus(t, n).ConfigurationVersion
			if got < want-1 {
				t.Fatalf("got configuration %d at host %d, want at least %d", got, n, want-1)
			}
			if got != want {
				return false
			}
		}
		return true
	})
}
