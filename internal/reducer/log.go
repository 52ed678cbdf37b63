package reducer

import (
	"strings"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// The streams of the platform's log that the system uses.
const (
	// ConfigurationStream holds what operators publish.
	ConfigurationStream = configurer.Stream
	// GroupStreamPrefix precedes the name of a data centre in the name of the
	// stream that holds its controller's claims and assignments.
	GroupStreamPrefix = "groups-"
	// KeyStreamPrefix precedes the number of a shard in the name of a stream
	// that holds reserved idempotency keys.
	KeyStreamPrefix = "keys-"
)

// applyLog hands what happened at the log to the decisions that use the stream.
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

func streamOf(event Event) fuchsiapitch.StreamName {
	switch e := event.(type) {
	case RecordsRead:
		return e.Stream
	case ReadFailed:
		return e.Stream
	case ReadTruncated:
		return e.Stream
	case AppendEnded:
		return e.Stream
	}
	return ""
}
