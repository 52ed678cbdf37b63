package reducer

import (
	"strings"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// The names and prefixes of the streams in the platform's log.
const (
	// ConfigurationStream holds the publications of operators and the checkpoints
	// of the configuration.
	ConfigurationStream = configurer.StreamName
	// GroupStreamPrefix precedes the name of a data centre in the name of its
	// group stream, which holds the lease claims and the assignments of the
	// controllers.
	GroupStreamPrefix = "groups-"
	// KeyStreamPrefix precedes the number of a shard in the name of a key stream,
	// which holds the claims and completions of idempotency keys.
	KeyStreamPrefix = "keys-"
)

// applyLogEvent passes a log event to the handler of its stream.
func (s *State) applyLogEvent(event Event) {
	stream := streamOf(event)
	switch {
	case stream == ConfigurationStream:
		s.applyConfigurationLogEvent(event)
	case strings.HasPrefix(string(stream), GroupStreamPrefix):
		s.applyGroupLogEvent(event)
	case strings.HasPrefix(string(stream), KeyStreamPrefix):
		s.applyKeyLogEvent(event)
	}
}

// streamOf returns the stream of a log event, "" for any other event.
func streamOf(event Event) fuchsiapitch.StreamName {
	switch e := event.(type) {
	case RecordsRead:
		return e.Stream
	case ReadFailed:
		return e.Stream
	case StreamTruncated:
		return e.Stream
	case AppendEnded:
		return e.Stream
	}
	return ""
}
