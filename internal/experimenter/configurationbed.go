package experimenter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
)

const (
	configurationHosts = 2
	// configurationPoll is the time between two looks at a host.
	configurationPoll = 5 * time.Millisecond
	// configurationIdle is the time for which reading is measured without changes.
	configurationIdle = 4 * time.Second
	// configurationWait is the time that the publishers' reads wait at the end.
	configurationWait = 50 * time.Millisecond
)

// configurationBed is three data centres of entry hosts that follow the log.
type configurationBed struct {
	fleet        *standin.Fleet
	cluster      *launcher.Cluster
	centres      []fuchsiapitch.DataCentreName
	timed        *timedLog
	truth        *configurer.Follower
	outcomes     map[fuchsiapitch.RecordID]configurer.PublicationOutcome
	watched      []*watchedHost
	began, ended time.Time
	idleBytes    float64
	readBytes    float64
	mutex        sync.Mutex
	observations []observation
}

func startConfigurationBed(ctx context.Context) (*configurationBed, func(), error) {
	b := &configurationBed{
		centres:  []fuchsiapitch.DataCentreName{"gt-antigua", "gt-xela", "gt-capital"},
		truth:    configurer.NewFollower(encoder.DecodeConfigurationRecord),
		outcomes: make(map[fuchsiapitch.RecordID]configurer.PublicationOutcome),
	}
	fleet, closeFleet, err := standin.Start(standin.WithDataCentres(b.centres...), standin.WithEngines(1, 1))
	if err != nil {
		return nil, nil, err
	}
	b.fleet = fleet
	server, closeServer, err := fleet.Log().Listen()
	if err != nil {
		closeFleet()
		return nil, nil, err
	}
	log, closeLog := recorder.New(server.Address(), recorder.WithReadWait(configurationWait))
	b.timed = &timedLog{Log: log, starts: make(map[fuchsiapitch.RecordID]time.Time)}
	cluster, closeCluster, err := launcher.Start(fleet, b.centres, launcher.WithHostsPerDataCentre(configurationHosts))
	if err != nil {
		closeServer()
		closeFleet()
		return nil, nil, err
	}
	b.cluster = cluster
	return b, func() { closeCluster(); closeLog(); closeServer(); closeFleet() }, b.prepare(ctx)
}

// prepare publishes the rank that every customer names and measures the reading
// without changes.
func (b *configurationBed) prepare(ctx context.Context) error {
	documents, err := loader.DecodeDocuments("rank", []byte("{kind: rank, name: chat, order: 0, first-token: 480ms, inter-token: 44ms}"))
	if err != nil {
		return err
	}
	if _, err := publisher.New(b.timed, "prepare").Publish(ctx, documents); err != nil {
		return err
	}
	if err := launcher.Await(ctx, func() bool { return b.cluster.Hosts()[0].EntryHost().Runner().Configuration().Offset() > 0 }); err != nil {
		return err
	}
	before := b.bytes()
	rest(ctx, configurationIdle)
	b.idleBytes = b.perHost(b.bytes()-before, configurationIdle)
	return nil
}

// bytes returns what the hosts have read of the stream.
func (b *configurationBed) bytes() int64 {
	var sum int64
	for _, c := range b.centres {
		sum += b.fleet.Log().ReadBytes(b.fleet.LogAddress(c), string(configurer.StreamName))
	}
	return sum
}

func (b *configurationBed) perHost(bytes int64, d time.Duration) float64 {
	return float64(bytes) / d.Seconds() / float64(len(b.cluster.Hosts()))
}

// customerDocuments returns a document of one of the shared customers.
func customerDocuments(customer, limit int) []loader.Document {
	content := fmt.Sprintf("{kind: customer, name: customer-%d, ranks: [chat], key-hashes: [\"%064x\"], limits: {in-flight: %d}}", customer, customer, limit)
	documents, err := loader.DecodeDocuments("customer", []byte(content))
	if err != nil {
		return nil
	}
	return documents
}

// watchedHost notes when each offset was in force at one host.
type watchedHost struct {
	host    *launcher.Host
	points  []inForcePoint
	reverts int
}

type inForcePoint struct {
	offset fuchsiapitch.Offset
	at     time.Time
}

func (h *watchedHost) look() {
	offset := h.host.EntryHost().Runner().Configuration().Offset()
	var last fuchsiapitch.Offset
	if n := len(h.points); n > 0 {
		last = h.points[n-1].offset
	}
	if offset < last {
		h.reverts++
	}
	if offset > last {
		h.points = append(h.points, inForcePoint{offset: offset, at: time.Now()})
	}
}

// inForceAt returns when an offset was in force.
func (h *watchedHost) inForceAt(offset fuchsiapitch.Offset) (time.Time, bool) {
	for _, p := range h.points {
		if p.offset >= offset {
			return p.at, true
		}
	}
	return time.Time{}, false
}

// watch looks at every host again and again. The function it returns ends it.
func (b *configurationBed) watch(ctx context.Context) func() {
	for _, h := range b.cluster.Hosts() {
		b.watched = append(b.watched, &watchedHost{host: h})
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	before := b.bytes()
	b.began = time.Now()
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			for _, h := range b.watched {
				h.look()
			}
			rest(ctx, configurationPoll)
		}
	}()
	return func() {
		cancel()
		<-ended
		b.ended = time.Now()
		b.readBytes = b.perHost(b.bytes()-before, b.ended.Sub(b.began))
	}
}

func (b *configurationBed) reverts() int {
	sum := 0
	for _, h := range b.watched {
		sum += h.reverts
	}
	return sum
}

// truncate drops every record, once the truth has read them all.
func (b *configurationBed) truncate(ctx context.Context) error {
	b.timed.gate.Lock()
	defer b.timed.gate.Unlock()
	if err := b.readTruth(ctx); err != nil {
		return err
	}
	b.fleet.Log().Truncate(string(configurer.StreamName), 0)
	return nil
}

// readTruth folds the stream up to its end, apart from hosts and publishers.
func (b *configurationBed) readTruth(ctx context.Context) error {
	const limit = configurer.OutcomeLimit / 2
	for {
		from := b.truth.NextOffset()
		batch, err := b.timed.Read(ctx, configurer.StreamName, from, limit)
		if err != nil {
			return err
		}
		b.truth.ApplyBatch(from, batch)
		for _, o := range b.truth.StateMachine().Snapshot().Outcomes {
			b.outcomes[o.PublicationID] = o
		}
		if len(batch.Records()) < limit {
			return nil
		}
	}
}

// isTrue reports whether a publisher was told the truth.
func (b *configurationBed) isTrue(result publisher.Result) bool {
	outcome, appended := b.outcomes[result.Publication]
	switch result.Status {
	case publisher.Accepted:
		return appended && outcome.Accepted && outcome.Offset == result.Offset
	case publisher.Lost:
		return appended && !outcome.Accepted && outcome.Conflict == result.Loss
	case publisher.NotPublished:
		return !appended
	default:
		return true
	}
}

// Append implements fuchsiapitch.Log.
func (l *timedLog) Append(ctx context.Context, stream fuchsiapitch.StreamName, record fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	l.gate.RLock()
	defer l.gate.RUnlock()
	start := time.Now()
	offset, err := l.Log.Append(ctx, stream, record)
	var unavailable *fuchsiapitch.UnavailableError
	if errors.As(err, &unavailable) {
		return offset, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.starts[record.ID()]; !ok {
		l.starts[record.ID()] = start
	}
	return offset, err
}

func (l *timedLog) startOf(id fuchsiapitch.RecordID) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.starts[id]
}
