package platformassembler

import (
	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/evacuator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// evacuationState is what a host knows of one data centre, in the state for other hosts.
type evacuationState struct {
	DataCentre string `json:"data-centre"`
	Evacuated  bool   `json:"evacuated"`
	Era        int64  `json:"era"`
	Offset     int64  `json:"offset"`
}

// applyEvacuations tells the coordinator which data centres the operator's topic evacuates.
func (h *Host) applyEvacuations(u tracker.Update) {
	read := coordinator.EvacuationsRead{IsSnapshot: u.IsSnapshot, End: evacuator.Version{Era: u.Era, Offset: u.NextOffset}}
	for _, r := range u.Records {
		if name, ok := platform.ParseEvacuationKey(r.Key); ok {
			read.News = append(read.News, evacuator.News{DataCentre: name, Evacuated: !r.IsTombstone(), Version: evacuator.Version{Era: u.Era, Offset: r.Offset + 1}})
		}
	}
	h.driver.Apply(read)
}

// encodeEvacuations returns what this host knows of data centres, for the state.
func encodeEvacuations(news []evacuator.News) []evacuationState {
	states := make([]evacuationState, 0, len(news))
	for _, n := range news {
		states = append(states, evacuationState{DataCentre: string(n.DataCentre), Evacuated: n.Evacuated, Era: n.Version.Era, Offset: n.Version.Offset})
	}
	return states
}

// decodeEvacuations returns what another host knows of data centres.
func decodeEvacuations(states []evacuationState) []evacuator.News {
	news := make([]evacuator.News, 0, len(states))
	for _, s := range states {
		news = append(news, evacuator.News{
			DataCentre: fuchsiapitch.DataCentreName(s.DataCentre), Evacuated: s.Evacuated, Version: evacuator.Version{Era: s.Era, Offset: s.Offset},
		})
	}
	return news
}

// cacheHosts updates the state for other hosts with records of the hosts topic.
func (h *Host) cacheHosts(u tracker.Update) {
	h.stateMutex.Lock()
	defer h.stateMutex.Unlock()
	if u.IsSnapshot || h.state.Hosts == nil {
		h.state.Hosts = make(map[string][]byte)
	}
	for _, r := range u.Records {
		h.state.Hosts[r.Key] = r.Value
	}
}

// encodeHosts returns the records of the hosts topic in a state.
func encodeHosts(values map[string][]byte) []platform.Record {
	records := make([]platform.Record, 0, len(values))
	for key, value := range values {
		records = append(records, platform.Record{Key: key, Value: value})
	}
	return records
}
