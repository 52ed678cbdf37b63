package encoder

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/deduplicator"
)

// BenchmarkKeys encodes, decodes and applies records of 64 claims and of their
// completions. It reports the size in the log, the memory and the time per key.
func BenchmarkKeys(b *testing.B) {
	const batchSize = 64
	var memoryBefore, memoryAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memoryBefore)
	d := deduplicator.New()
	recordBytes, now := 0, time.Now()
	for n := 0; b.Loop(); n++ {
		var claims, completions deduplicator.Batch
		shard := n % deduplicator.ShardCount
		for len(claims.Claims) < batchSize {
			key := deduplicator.NewKey("family", "mostrador", fmt.Sprint(n, len(claims.Claims), uuid.NewString()))
			key[0] = byte(shard)
			id := fuchsiapitch.RequestID("req-" + uuid.NewString())
			claims.Claims = append(claims.Claims, deduplicator.Claim{Key: key, RequestID: id, BodyHash: uint64(n), ClaimedAt: now, RequestExpiresAt: now.Add(time.Minute)})
			completions.Completions = append(completions.Completions, deduplicator.Completion{Key: key, RequestID: id, Outcome: fuchsiapitch.OutcomeUnknown})
		}
		for _, batch := range []deduplicator.Batch{claims, completions} {
			data, err := EncodeKeyRecord(batch)
			if err != nil {
				b.Fatal(err)
			}
			recordBytes += len(data)
			decoded, err := DecodeKeyRecord(data)
			if err != nil {
				b.Fatal(err)
			}
			d.Apply(shard, decoded)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&memoryAfter)
	keys := float64(b.N * batchSize)
	b.ReportMetric(float64(recordBytes)/keys, "log-bytes/key")
	b.ReportMetric(float64(memoryAfter.HeapAlloc-memoryBefore.HeapAlloc)/float64(d.KeyCount()), "memory-bytes/key")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/keys, "ns/key")
	runtime.KeepAlive(d)
}
