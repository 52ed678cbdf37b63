package loader

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

const keyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const validDocuments = `kind: rank
name: chat
order: 0
first-token: 480ms
inter-token: 44ms
worth: 10
floor: 0.25
---
kind: model-service
name: vidrio-llm
rank: chat
model: vidrio
version: 7
adapters: [glaze]
replicas: 10
group-size: 8
fencing: true
timeout: 5m
---
kind: application-service
name: taller-app
rank: chat
routes:
  - {method: GET, prefix: /ovens, idempotent: true}
---
kind: customer
name: lamparas
weight: 2.5
key-hashes: [` + keyHash + `]
ranks: [chat]
limits: {in-flight: 9, tokens-per-second: 100, queue-bytes: 1024}
`

func TestDocuments(t *testing.T) {
	t.Run("complete documents are read", func(t *testing.T) {
		documents, err := DecodeDocuments("x.yaml", []byte(validDocuments))
		assertNoError(t, err, "decode")
		assertNoError(t, Check(documents), "check")
		rank, _ := documents[0].Document().Rank()
		if want := fuchsiapitch.NewRank("chat", 0, 480*time.Millisecond, 44*time.Millisecond, 10, 0.25); rank != want {
			t.Errorf("got %+v, want %+v", rank, want)
		}
		model, _ := documents[1].Document().Service()
		if model.Version() != "7" || model.GroupSize() != 8 || !model.EnforcesFencing() || model.Timeout() != 5*time.Minute {
			t.Errorf("got %+v, want the stated fields", model)
		}
		application, _ := documents[2].Document().Service()
		if got, want := application.Routes()[0], fuchsiapitch.NewRoute("GET", "/ovens", true); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
		customer, _ := documents[3].Document().Customer()
		if customer.Weight() != 2.5 || customer.KeyHashes()[0] != keyHash || customer.MaxQueuedBytes() != 1024 {
			t.Errorf("got %+v, want the stated fields", customer)
		}
	})
	t.Run("all problems of all documents are found at once", func(t *testing.T) {
		_, err := DecodeDocuments("x.yaml", []byte(`kind: rank
name: chat
order: first
first-token: 1
inter-token: 0s
flor: 0.1
---
kind: model-servise
name: x
---
kind: model-service
name: x
rank: chat
replicas: 0
---
kind: customer
name: lamparas
weight: -1
key-hashes: [sk-plain-secret]
keys: [sk-other-secret]
`))
		assertProblems(t, err,
			problemAt(WrongType, 3, 8), problemAt(WrongType, 4, 14), problemAt(BadValue, 5, 14), problemAt(UnknownKey, 6, 1),
			problemAt(BadValue, 8, 7), problemAt(MissingKey, 11, 1), problemAt(MissingKey, 11, 1), problemAt(BadValue, 14, 11),
			problemAt(BadValue, 18, 9), problemAt(BadValue, 19, 14), problemAt(UnknownKey, 20, 1))
		if strings.Contains(err.Error(), "secret") {
			t.Errorf("got %v, want no key in the message", err)
		}
	})
	t.Run("documents that do not fit together are found", func(t *testing.T) {
		documents, err := DecodeDocuments("x.yaml", []byte(`{kind: rank, name: a, order: 0, first-token: 1s, inter-token: 1s, floor: 0.6}
---
{kind: rank, name: b, order: 0, first-token: 1s, inter-token: 1s, floor: 0.5}
---
{kind: rank, name: a, order: 2, first-token: 1s, inter-token: 1s}
---
{kind: model-service, name: m, rank: c, model: m, version: 1, group-size: 9}
---
{kind: application-service, name: m, rank: a}
---
{kind: customer, name: u, ranks: [c], key-hashes: [`+keyHash+`]}
---
{kind: rank, name: old, removed: true}
`))
		assertNoError(t, err, "decode")
		oldRank := configurer.NewRankDocument(fuchsiapitch.NewRank("old", 7, 1, 1, 1, 0))
		otherCustomer := configurer.NewCustomerDocument(fuchsiapitch.NewCustomer("v", fuchsiapitch.WithAllowedRanks("old"), fuchsiapitch.WithKeyHashes(keyHash)))
		assertProblems(t, Check(documents, WithDocumentsInForce(oldRank, otherCustomer), WithLargestDomainSize(8)),
			problemAt(Duplicate, 1, 30), problemAt(BadValue, 1, 74), problemAt(Duplicate, 3, 30), problemAt(BadValue, 3, 74),
			problemAt(Duplicate, 5, 20), problemAt(DanglingReference, 7, 38), problemAt(BadValue, 7, 75),
			problemAt(Duplicate, 9, 35), problemAt(DanglingReference, 11, 34), problemAt(Duplicate, 11, 51), problemAt(DanglingReference, 13, 2))
	})
	t.Run("a file of excessive size is not parsed", func(t *testing.T) {
		_, err := DecodeDocuments("x.yaml", []byte("#"+strings.Repeat(" ", maxFileBytes)))
		assertProblems(t, err, problemAt(Unreadable, 0, 0))
	})
	t.Run("only marked files below directories are collected", func(t *testing.T) {
		root := t.TempDir()
		assertNoError(t, os.MkdirAll(filepath.Join(root, "service"), 0o700), "make a directory")
		assertNoError(t, os.WriteFile(filepath.Join(root, "service", "a.fuchsiapitch.yaml"), []byte(validDocuments), 0o600), "write")
		assertNoError(t, os.WriteFile(filepath.Join(root, "other.yaml"), []byte("a: 1"), 0o600), "write")
		documents, err := Collect(root, filepath.Join(root, "service"))
		assertNoError(t, err, "collect")
		if got, want := len(documents), 4; got != want {
			t.Errorf("got %d documents, want %d", got, want)
		}
		_, err = Collect(filepath.Join(root, "absent"))
		assertProblems(t, err, problemAt(Unreadable, 0, 0))
	})
}

func FuzzDecodeDocuments(f *testing.F) {
	f.Add([]byte(validDocuments))
	f.Add([]byte("kind: &a rank\nname: *a\n<<: {order: 1}\n? [x]\n: !!int y\n"))
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, content []byte) {
		documents, err := DecodeDocuments("x.yaml", content)
		var found *ProblemsError
		if err != nil && !errors.As(err, &found) {
			t.Errorf("got error %v, want problems", err)
		}
		for _, d := range documents {
			if !d.Removed() && d.Document().Key() != d.Key() {
				t.Errorf("got document %s under key %s", d.Document().Key(), d.Key())
			}
		}
		_ = Check(documents)
		_, _ = DecodeSettings("x.yaml", content)
	})
}
