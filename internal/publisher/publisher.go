package publisher

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
)

const (
	// maxReadRecords is the largest number of records in one read. It is below
	// the number of outcomes that a state machine keeps, so that an outcome cannot
	// be evicted before it is looked up.
	maxReadRecords = configurer.OutcomeLimit / 2
	// maxRetryInterval bounds the back-off between calls to the log.
	maxRetryInterval = 2 * time.Second
)

// Status is the outcome of a publication.
type Status int

// The statuses of a publication.
const (
	// Unchanged means that the documents were in force already.
	Unchanged Status = iota + 1
	// Accepted means that every document is in force.
	Accepted
	// Lost means that the publication was rejected because of a concurrent one.
	// None of its documents came into force.
	Lost
	// NotPublished means that the log was unavailable and nothing was appended.
	NotPublished
	// Unknown means that the publication may or may not have been appended.
	Unknown
)

// String returns the status in kebab case.
func (s Status) String() string {
	names := [...]string{"", "unchanged", "accepted", "lost", "not-published", "unknown"}
	if s <= 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Result is the outcome of a publication with its details.
type Result struct {
	// PublicationID identifies the publication, "" if nothing had to be published.
	PublicationID fuchsiapitch.RecordID
	// Status is the kind of outcome.
	Status Status
	// Offset is the offset from which the documents are in force, or the offset
	// of the record if the publication lost.
	Offset fuchsiapitch.Offset
	// Conflict identifies the winning publication if the status is Lost.
	Conflict configurer.Conflict
	// Differences lists the changed fields of each document.
	Differences []Difference
	// Err is the last error from the log, if the status is NotPublished or Unknown.
	Err error
}

// Publisher publishes configuration documents on behalf of one operator.
type Publisher struct {
	log          fuchsiapitch.Log
	operatorName string
	checkOptions []loader.CheckOption
	newID        func() fuchsiapitch.RecordID
	newBackOff   func() backoff.BackOff
}

// Option sets one optional property of a publisher.
type Option func(*Publisher)

// WithCheckOptions sets options for the checks of documents, such as the size of
// the largest fabric domain.
func WithCheckOptions(checkOptions ...loader.CheckOption) Option {
	return func(p *Publisher) { p.checkOptions = checkOptions }
}

// WithRecordIDSource sets the function that generates identifiers of publications.
func WithRecordIDSource(newID func() fuchsiapitch.RecordID) Option {
	return func(p *Publisher) { p.newID = newID }
}

// WithBackOff sets the function that creates the back-off between retried calls to
// the log.
func WithBackOff(newBackOff func() backoff.BackOff) Option {
	return func(p *Publisher) { p.newBackOff = newBackOff }
}

// New returns a publisher that appends to a log under the name of an operator. The log
// ends a call whose bytes do not move; the publisher does not limit its duration.
func New(log fuchsiapitch.Log, operatorName string, options ...Option) *Publisher {
	p := &Publisher{log: log, operatorName: operatorName, newID: newRecordID, newBackOff: defaultBackOff}
	for _, o := range options {
		o(p)
	}
	return p
}

func newRecordID() fuchsiapitch.RecordID { return fuchsiapitch.RecordID(uuid.NewString()) }

func defaultBackOff() backoff.BackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.MaxInterval = maxRetryInterval
	return exponential
}

// Check checks documents against each other and against those in force. It
// returns a ProblemsError if documents are invalid, and an UnavailableError or a
// MissingCheckpointError if the documents in force cannot be read.
func (p *Publisher) Check(ctx context.Context, documents []loader.Document) error {
	follower, err := p.readState(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return p.check(follower.StateMachine(), documents)
}

func (p *Publisher) check(stateMachine *configurer.StateMachine, documents []loader.Document) error {
	options := append([]loader.CheckOption{loader.WithDocumentsInForce(documentsInForce(stateMachine)...)}, p.checkOptions...)
	return loader.Check(documents, options...)
}

// documentsInForce returns the documents in force. Documents that this version
// cannot decode are left out.
func documentsInForce(stateMachine *configurer.StateMachine) []configurer.Document {
	var documents []configurer.Document
	for _, e := range stateMachine.Entries() {
		if !e.Removed && e.Document.Key() == e.Key {
			documents = append(documents, e.Document)
		}
	}
	return documents
}

// Plan returns what a publication of the documents would change, without
// publishing them. It returns the errors of Check.
func (p *Publisher) Plan(ctx context.Context, documents []loader.Document) ([]Difference, error) {
	follower, err := p.readState(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.check(follower.StateMachine(), documents); err != nil {
		return nil, err
	}
	_, differences, err := p.buildPublication(follower.StateMachine(), documents)
	return differences, trace.Wrap(err)
}

// Publish publishes documents atomically and returns the outcome. It retries
// until the context ends. It returns the errors of Check before the
// first append; later failures are reported in the result.
func (p *Publisher) Publish(ctx context.Context, documents []loader.Document) (Result, error) {
	follower, err := p.readState(ctx)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	if err := p.check(follower.StateMachine(), documents); err != nil {
		return Result{}, err
	}
	publication, differences, err := p.buildPublication(follower.StateMachine(), documents)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	if len(publication.Changes) == 0 {
		return Result{Status: Unchanged, Offset: follower.StateMachine().Offset()}, nil
	}
	data, err := encoder.EncodeConfigurationRecord(publication)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	attempt := &publishAttempt{publisher: p, follower: follower, record: fuchsiapitch.NewRecord(p.newID(), data), backOff: p.newBackOff()}
	result := attempt.appendAndReadBack(ctx)
	result.Differences = differences
	return result, nil
}

// readState applies the records of the stream up to its end. If the log is
// unavailable, or has truncated records and holds no checkpoint yet, it retries until
// the context ends.
func (p *Publisher) readState(ctx context.Context) (*configurer.Follower, error) {
	follower := configurer.NewFollower(encoder.DecodeConfigurationRecord)
	backOff := p.newBackOff()
	for {
		err := p.readToEnd(ctx, follower, nil)
		if err == nil && !follower.HasGap() {
			return follower, nil
		}
		if ctx.Err() != nil && follower.HasGap() {
			return nil, &MissingCheckpointError{NextOffset: follower.NextOffset()}
		}
		if ctx.Err() != nil {
			return nil, err
		}
		sleep(ctx, backOff.NextBackOff())
	}
}

// readToEnd applies the records of the stream up to its end, or until stopEarly
// returns true after a batch. A nil stopEarly means up to the end.
func (p *Publisher) readToEnd(ctx context.Context, follower *configurer.Follower, stopEarly func() bool) error {
	for ctx.Err() == nil {
		from := follower.NextOffset()
		batch, err := p.log.Read(ctx, configurer.StreamName, from, maxReadRecords)
		var truncated *fuchsiapitch.LogTruncatedError
		switch {
		case errors.As(err, &truncated):
			follower.ApplyTruncation(truncated.Oldest)
			continue
		case err != nil:
			return err
		}
		mustRestart := follower.ApplyBatch(from, batch)
		if stopEarly != nil && stopEarly() {
			return nil
		}
		if !mustRestart && len(batch.Records()) < maxReadRecords {
			return nil
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
