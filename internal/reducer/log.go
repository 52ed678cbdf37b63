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
	// GroupStreamPrefix precedes the name of a data centre in the name of the
	// stream that holds the lease claims and assignments of its controller.
	GroupStreamPrefix = "groups-"
	// KeyStreamPrefix precedes the number of a shard in the name of a stream
	// that holds reserved idempotency keys.
	KeyStreamPrefix = "keys-"
)

// applyLog passes a log event to the handler of its stream.
func (s *State) applyLog(event Event) {
	stream := streamOf(event)
	switch {
	case stream == ConfigurationStream:
		s.applyConfigurationLog(event)
	case strings.HasPrefix(string(stream), GroupStreamPrefix):
		s.applyGroupLog(event)
	case strings.HasPrefix(string(stream), KeyStreamPrefix):
		s.applyKeyLog(event)
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
