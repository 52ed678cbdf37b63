package encoder

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

func assertNoError(t rapid.TB, err error, what string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", what, err)
	}
}

func drawDocument(t *rapid.T) configurer.Document {
	name := rapid.StringMatching("[a-z]{1,5}").Draw(t, "name")
	counts := rapid.IntRange(0, 1000)
	numbers := rapid.Float64Range(0, 1000)
	durations := rapid.Map(rapid.Int64Range(0, 1e12), func(n int64) time.Duration { return time.Duration(n) })
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return configurer.NewRankDocument(fuchsiapitch.NewRank(fuchsiapitch.RankName(name), counts.Draw(t, "order"),
			durations.Draw(t, "first"), durations.Draw(t, "inter"), numbers.Draw(t, "worth"), numbers.Draw(t, "floor")))
	case 1:
		return configurer.NewCustomerDocument(fuchsiapitch.NewCustomer(fuchsiapitch.CustomerName(name),
			fuchsiapitch.WithWeight(numbers.Draw(t, "weight")), fuchsiapitch.WithKeyHashes("00ff", "1234"),
			fuchsiapitch.WithAllowedRanks("chat", fuchsiapitch.RankName(name)),
			fuchsiapitch.WithLimits(counts.Draw(t, "in flight"), numbers.Draw(t, "tokens"), int64(counts.Draw(t, "bytes")))))
	}
	return configurer.NewServiceDocument(fuchsiapitch.NewService(fuchsiapitch.ServiceName(name), fuchsiapitch.ModelService, "chat",
		fuchsiapitch.WithModel(name, "7"), fuchsiapitch.WithAdapters(name, "b"), fuchsiapitch.WithFencing(), fuchsiapitch.WithCrossDomain(),
		fuchsiapitch.WithReplicas(counts.Draw(t, "replicas"), counts.Draw(t, "size")), fuchsiapitch.WithConcurrency(counts.Draw(t, "slots")),
		fuchsiapitch.WithPlacementWeight(numbers.Draw(t, "worth")), fuchsiapitch.WithTimeout(durations.Draw(t, "timeout")),
		fuchsiapitch.WithRoutes(fuchsiapitch.NewRoute("GET", "/"+name, true))))
}

func TestDocument(t *testing.T) {
	t.Run("a document survives the round trip", rapid.MakeCheck(func(t *rapid.T) {
		want := drawDocument(t)
		content, err := EncodeDocument(want, nil)
		assertNoError(t, err, "encode")
		if got := DecodeDocument(want.Key().Kind(), content); !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}))
	t.Run("fields of a newer version are carried over", func(t *testing.T) {
		document := configurer.NewRankDocument(fuchsiapitch.NewRank("chat", 0, 1, 1, 1, 0))
		unknown := []byte{0xf8, 0x3f, 0x07}
		content, err := EncodeDocument(document, unknown)
		assertNoError(t, err, "encode")
		if !bytes.HasSuffix(content, unknown) {
			t.Errorf("got %x, want it to end with the unknown field %x", content, unknown)
		}
	})
}

func TestRecord(t *testing.T) {
	t.Run("a publication and a checkpoint survive the round trip", rapid.MakeCheck(func(t *rapid.T) {
		document := drawDocument(t)
		content, err := EncodeDocument(document, nil)
		assertNoError(t, err, "encode")
		publication := configurer.Publication{
			Publisher: "ana", Changes: []configurer.Change{
				{Key: document.Key(), ParentRevision: 7, Content: content, Document: document},
				{Key: configurer.NewKey("other", "x"), Removed: true},
			}, Preconditions: []configurer.Precondition{{Kind: configurer.RankKind, LatestRevision: 3}},
		}
		stateMachine := configurer.NewStateMachine()
		stateMachine.ApplyPublication("p", 9, publication)
		stateMachine.ApplyPublication("q", 10, configurer.Publication{Changes: []configurer.Change{{Key: document.Key(), ParentRevision: 0, Content: content, Document: document}}})
		for _, want := range []configurer.RecordBody{publication, stateMachine.Snapshot()} {
			data, err := EncodeConfigurationRecord(want)
			assertNoError(t, err, "encode")
			got, err := DecodeConfigurationRecord(data)
			assertNoError(t, err, "decode")
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		}
	}))
}

func FuzzDecodeConfiguration(f *testing.F) {
	for _, b := range []configurer.RecordBody{
		configurer.Publication{Publisher: "ana", Changes: []configurer.Change{{Key: configurer.NewKey("rank", "chat"), Content: []byte("x")}}},
		configurer.Snapshot{Offset: 3, Outcomes: []configurer.PublicationOutcome{{PublicationID: "p"}}},
	} {
		data, err := EncodeConfigurationRecord(b)
		assertNoError(f, err, "encode")
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := DecodeConfigurationRecord(data)
		if err != nil {
			return
		}
		encodedAgain, err := EncodeConfigurationRecord(body)
		assertNoError(t, err, "encode the decoded body")
		got, err := DecodeConfigurationRecord(encodedAgain)
		assertNoError(t, err, "decode again")
		if !equalBodies(got, body) {
			t.Errorf("got %+v, want %+v", got, body)
		}
	})
}

// equalBodies compares the encoded bodies, because a document may contain NaN,
// which is not equal to itself.
func equalBodies(a, b configurer.RecordBody) bool {
	encodedA, errA := EncodeConfigurationRecord(a)
	encodedB, errB := EncodeConfigurationRecord(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}
