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
	configurationHostsPerDataCentre = 2
	// hostPollInterval is the time between two polls of the hosts.
	hostPollInterval = 5 * time.Millisecond
	// idleMeasurementTime is the time for which read traffic is measured
	// without changes.
	idleMeasurementTime = 4 * time.Second
	// endOfLogReadWait is the time that a publisher's read at the end of the
	// log waits for a record.
	endOfLogReadWait = 50 * time.Millisecond
)

// configurationTestbed is three data centres with entry hosts that follow the
// configuration stream. referenceFollower reads the same stream independently
// of the hosts and the publishers.
type configurationTestbed struct {
	fleet                        *standin.Fleet
	cluster                      *launcher.Cluster
	dataCentres                  []fuchsiapitch.DataCentreName
	publisherLog                 *timingLog
	referenceFollower            *configurer.Follower
	referenceOutcomes            map[fuchsiapitch.RecordID]configurer.PublicationOutcome
	hostWatchers                 []*hostWatcher
	watchStartedAt, watchEndedAt time.Time
	idleReadBytesPerSecond       float64
	readBytesPerSecond           float64
	mutex                        sync.Mutex
	reportedResults              []reportedResult
}

func startConfigurationTestbed(ctx context.Context) (*configurationTestbed, func(), error) {
	b := &configurationTestbed{
		dataCentres:       []fuchsiapitch.DataCentreName{"gt-antigua", "gt-xela", "gt-capital"},
		referenceFollower: configurer.NewFollower(encoder.DecodeConfigurationRecord),
		referenceOutcomes: make(map[fuchsiapitch.RecordID]configurer.PublicationOutcome),
	}
	fleet, closeFleet, err := standin.Start(standin.WithDataCentres(b.dataCentres...), standin.WithEngines(1, 1))
	if err != nil {
		return nil, nil, err
	}
	b.fleet = fleet
	server, closeServer, err := fleet.Log().Listen()
	if err != nil {
		closeFleet()
		return nil, nil, err
	}
	log, closeLog := recorder.New(server.Address(), recorder.WithReadWait(endOfLogReadWait))
	b.publisherLog = &timingLog{Log: log, appendStartedAt: make(map[fuchsiapitch.RecordID]time.Time)}
	cluster, closeCluster, err := launcher.Start(fleet, b.dataCentres, launcher.WithHostsPerDataCentre(configurationHostsPerDataCentre))
	if err != nil {
		closeServer()
		closeFleet()
		return nil, nil, err
	}
	b.cluster = cluster
	return b, func() { closeCluster(); closeLog(); closeServer(); closeFleet() }, b.prepare(ctx)
}

// prepare publishes the rank that every customer refers to and measures the
// read traffic of the hosts while nothing is published.
func (b *configurationTestbed) prepare(ctx context.Context) error {
	documents, err := loader.DecodeDocuments("rank", []byte("{kind: rank, name: chat, order: 0, first-token: 480ms, inter-token: 44ms}"))
	if err != nil {
		return err
	}
	if _, err := publisher.New(b.publisherLog, "prepare").Publish(ctx, documents); err != nil {
		return err
	}
	if err := launcher.Await(ctx, func() bool { return b.cluster.Hosts()[0].EntryHost().Runner().Configuration().Offset() > 0 }); err != nil {
		return err
	}
	before := b.totalReadBytes()
	sleepContext(ctx, idleMeasurementTime)
	b.idleReadBytesPerSecond = b.bytesPerHostSecond(b.totalReadBytes()-before, idleMeasurementTime)
	return nil
}

// totalReadBytes returns the bytes of the configuration stream that all hosts
// have read.
func (b *configurationTestbed) totalReadBytes() int64 {
	var sum int64
	for _, c := range b.dataCentres {
		sum += b.fleet.Log().ReadBytes(b.fleet.LogAddress(c), string(configurer.StreamName))
	}
	return sum
}

func (b *configurationTestbed) bytesPerHostSecond(bytes int64, d time.Duration) float64 {
	return float64(bytes) / d.Seconds() / float64(len(b.cluster.Hosts()))
}

// customerDocuments returns the document of one of the shared customers.
func customerDocuments(customer, inFlightLimit int) []loader.Document {
	content := fmt.Sprintf("{kind: customer, name: customer-%d, ranks: [chat], key-hashes: [\"%064x\"], limits: {in-flight: %d}}", customer, customer, inFlightLimit)
	documents, err := loader.DecodeDocuments("customer", []byte(content))
	if err != nil {
		return nil
	}
	return documents
}

// hostWatcher records when each offset was first seen in force at one host, and
// how often the offset in force decreased.
type hostWatcher struct {
	host        *launcher.Host
	history     []inForceChange
	revertCount int
}

type inForceChange struct {
	offset fuchsiapitch.Offset
	seenAt time.Time
}

func (h *hostWatcher) poll() {
	offset := h.host.EntryHost().Runner().Configuration().Offset()
	var lastOffset fuchsiapitch.Offset
	if n := len(h.history); n > 0 {
		lastOffset = h.history[n-1].offset
	}
	if offset < lastOffset {
		h.revertCount++
	}
	if offset > lastOffset {
		h.history = append(h.history, inForceChange{offset: offset, seenAt: time.Now()})
	}
}

// inForceAt returns when an offset or a later one was first seen in force.
func (h *hostWatcher) inForceAt(offset fuchsiapitch.Offset) (time.Time, bool) {
	for _, p := range h.history {
		if p.offset >= offset {
			return p.seenAt, true
		}
	}
	return time.Time{}, false
}

// startWatching polls every host in the background. The returned function
// stops the polling and measures the read traffic.
func (b *configurationTestbed) startWatching(ctx context.Context) func() {
	for _, h := range b.cluster.Hosts() {
		b.hostWatchers = append(b.hostWatchers, &hostWatcher{host: h})
	}
	ctx, cancel := context.WithCancel(ctx)
	pollingDone := make(chan struct{})
	before := b.totalReadBytes()
	b.watchStartedAt = time.Now()
	go func() {
		defer close(pollingDone)
		for ctx.Err() == nil {
			for _, h := range b.hostWatchers {
				h.poll()
			}
			sleepContext(ctx, hostPollInterval)
		}
	}()
	return func() {
		cancel()
		<-pollingDone
		b.watchEndedAt = time.Now()
		b.readBytesPerSecond = b.bytesPerHostSecond(b.totalReadBytes()-before, b.watchEndedAt.Sub(b.watchStartedAt))
	}
}

func (b *configurationTestbed) totalReverts() int {
	sum := 0
	for _, h := range b.hostWatchers {
		sum += h.revertCount
	}
	return sum
}

// truncateLog drops every record of the stream. Appends are blocked while the
// reference follower reads the records and the stream is truncated, so that the
// reference follower misses no record.
func (b *configurationTestbed) truncateLog(ctx context.Context) error {
	b.publisherLog.truncateLock.Lock()
	defer b.publisherLog.truncateLock.Unlock()
	if err := b.readReference(ctx); err != nil {
		return err
	}
	b.fleet.Log().Truncate(string(configurer.StreamName), 0)
	return nil
}

// readReference reads the stream to its end with the reference follower and
// keeps the outcome of each publication.
func (b *configurationTestbed) readReference(ctx context.Context) error {
	const batchSize = configurer.OutcomeLimit / 2
	for {
		from := b.referenceFollower.NextOffset()
		batch, err := b.publisherLog.Read(ctx, configurer.StreamName, from, batchSize)
		if err != nil {
			return err
		}
		b.referenceFollower.ApplyBatch(from, batch)
		for _, o := range b.referenceFollower.StateMachine().Snapshot().Outcomes {
			b.referenceOutcomes[o.PublicationID] = o
		}
		if len(batch.Records()) < batchSize {
			return nil
		}
	}
}

// matchesStream reports whether a publisher's result agrees with the stream.
// Results with any other status than Accepted, Lost and NotPublished always
// agree.
func (b *configurationTestbed) matchesStream(result publisher.Result) bool {
	outcome, isAppended := b.referenceOutcomes[result.PublicationID]
	switch result.Status {
	case publisher.Accepted:
		return isAppended && outcome.Accepted && outcome.Offset == result.Offset
	case publisher.Lost:
		return isAppended && !outcome.Accepted && outcome.Conflict == result.Conflict
	case publisher.NotPublished:
		return !isAppended
	default:
		return true
	}
}

// Append implements fuchsiapitch.Log.
func (l *timingLog) Append(ctx context.Context, stream fuchsiapitch.StreamName, record fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	l.truncateLock.RLock()
	defer l.truncateLock.RUnlock()
	start := time.Now()
	offset, err := l.Log.Append(ctx, stream, record)
	var unavailable *fuchsiapitch.UnavailableError
	if errors.As(err, &unavailable) {
		return offset, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.appendStartedAt[record.ID()]; !ok {
		l.appendStartedAt[record.ID()] = start
	}
	return offset, err
}

// startedAt returns when the first append of a record that may have taken
// effect started.
func (l *timingLog) startedAt(id fuchsiapitch.RecordID) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appendStartedAt[id]
}
