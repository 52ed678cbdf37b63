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
	// readLimit is the largest number of records in one read. It is below the
	// number of outcomes that a fold remembers.
	readLimit = configurer.OutcomeLimit / 2
	// readTimeout bounds one read of the log.
	readTimeout = 5 * time.Second
	// appendTimeout bounds one append to the log.
	appendTimeout = 5 * time.Second
	// retryLimit is the longest wait before a repeated call of the log.
	retryLimit = 2 * time.Second
)

// Status is what became of a publication.
type Status int

// The statuses of a publication.
const (
	// Unchanged means that the documents were in force already.
	Unchanged Status = iota + 1
	// Accepted means that every document is in force.
	Accepted
	// Lost means that another publication won and nothing is in force.
	Lost
	// NotPublished means that the log was away and nothing was appended.
	NotPublished
	// Unknown means that the publication may or may not be in the log.
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

// Result tells what became of a publication.
type Result struct {
	// Publication identifies the publication, "" if there was nothing to publish.
	Publication fuchsiapitch.RecordID
	// Status states what became of it.
	Status Status
	// Offset is the offset from which the documents are in force, or at which
	// the publication lost.
	Offset fuchsiapitch.Offset
	// Loss states who won, if the publication lost.
	Loss configurer.Conflict
	// Differences are what the publication changes.
	Differences []Difference
	// Err is the last error of the log, if the status is NotPublished or Unknown.
	Err error
}

// Publisher publishes documents under the name of one operator.
type Publisher struct {
	log     fuchsiapitch.Log
	name    string
	checks  []loader.CheckOption
	newID   func() fuchsiapitch.RecordID
	backOff func() backoff.BackOff
}

// Option sets one optional property of a publisher.
type Option func(*Publisher)

// WithChecks sets what is known beside the documents.
func WithChecks(checks ...loader.CheckOption) Option {
	return func(p *Publisher) { p.checks = checks }
}

// WithIdentifiers sets the source of the identifiers of publications.
func WithIdentifiers(newID func() fuchsiapitch.RecordID) Option {
	return func(p *Publisher) { p.newID = newID }
}

// WithBackOff sets the waits between repeated calls of the log.
func WithBackOff(backOff func() backoff.BackOff) Option {
	return func(p *Publisher) { p.backOff = backOff }
}

// New returns a publisher.
func New(log fuchsiapitch.Log, name string, options ...Option) *Publisher {
	p := &Publisher{log: log, name: name, newID: newIdentifier, backOff: newBackOff}
	for _, o := range options {
		o(p)
	}
	return p
}

func newIdentifier() fuchsiapitch.RecordID { return fuchsiapitch.RecordID(uuid.NewString()) }

func newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.MaxInterval = retryLimit
	return b
}

// Check checks documents against each other and against those in force. It
// returns a ProblemsError for the documents and an UnavailableError or a
// StateError when the log does not give the state.
func (p *Publisher) Check(ctx context.Context, documents []loader.Document) error {
	f, err := p.readState(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return p.check(f.StateMachine(), documents)
}

func (p *Publisher) check(fold *configurer.StateMachine, documents []loader.Document) error {
	options := append([]loader.CheckOption{loader.WithPublished(published(fold)...)}, p.checks...)
	return loader.Check(documents, options...)
}

// published returns the documents in force.
func published(fold *configurer.StateMachine) []configurer.Document {
	var documents []configurer.Document
	for _, e := range fold.Entries() {
		if !e.Removed && e.Document.Key() == e.Key {
			documents = append(documents, e.Document)
		}
	}
	return documents
}

// Plan returns what a publication of the documents would change. It returns the
// errors of Check.
func (p *Publisher) Plan(ctx context.Context, documents []loader.Document) ([]Difference, error) {
	f, err := p.readState(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.check(f.StateMachine(), documents); err != nil {
		return nil, err
	}
	_, differences, err := p.plan(f.StateMachine(), documents)
	return differences, trace.Wrap(err)
}

// Publish puts documents into force as a whole, and tells what became of them.
// The context bounds the time that it tries. It returns the errors of Check
// when nothing was appended; everything later is told by the result.
func (p *Publisher) Publish(ctx context.Context, documents []loader.Document) (Result, error) {
	f, err := p.readState(ctx)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	if err := p.check(f.StateMachine(), documents); err != nil {
		return Result{}, err
	}
	publication, differences, err := p.plan(f.StateMachine(), documents)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	if len(publication.Changes) == 0 {
		return Result{Status: Unchanged, Offset: f.StateMachine().Offset()}, nil
	}
	data, err := encoder.EncodeConfiguration(publication)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	attempt := &attempt{publisher: p, follower: f, record: fuchsiapitch.NewRecord(p.newID(), data), waits: p.backOff()}
	result := attempt.run(ctx)
	result.Differences = differences
	return result, nil
}

// readState folds the stream up to its end. Until the context ends it waits for
// a log that is away, and for a checkpoint where the log has dropped records.
func (p *Publisher) readState(ctx context.Context) (*configurer.Follower, error) {
	f := configurer.NewFollower(encoder.DecodeConfiguration)
	waits := p.backOff()
	for {
		err := p.readToEnd(ctx, f, nil)
		if err == nil && !f.HasGap() {
			return f, nil
		}
		if ctx.Err() != nil && f.HasGap() {
			return nil, &StateError{Next: f.NextOffset()}
		}
		if ctx.Err() != nil {
			return nil, err
		}
		pause(ctx, waits.NextBackOff())
	}
}

// readToEnd folds the stream up to its end, or until the given condition holds.
func (p *Publisher) readToEnd(ctx context.Context, f *configurer.Follower, done func() bool) error {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		from := f.NextOffset()
		batch, err := p.log.Read(call, configurer.StreamName, from, readLimit)
		cancel()
		var truncated *fuchsiapitch.LogTruncatedError
		switch {
		case errors.As(err, &truncated):
			f.ApplyTruncation(truncated.Oldest)
			continue
		case err != nil:
			return err
		}
		restart := f.ApplyBatch(from, batch)
		if done != nil && done() {
			return nil
		}
		if !restart && len(batch.Records()) < readLimit {
			return nil
		}
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
