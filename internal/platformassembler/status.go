package platformassembler

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// statusResponse is the JSON document that operators get from /status.
type statusResponse struct {
	Host                 string          `json:"host"`
	ConfigurationVersion int64           `json:"configuration-version"`
	Leads                bool            `json:"leads"`
	Holder               string          `json:"holder"`
	ClaimNumber          int64           `json:"claim"`
	ListAgeMS            int64           `json:"list-age-ms"`
	ListStale            bool            `json:"list-stale"`
	InFlight             int64           `json:"in-flight"`
	Hosts                []hostStatus    `json:"hosts"`
	Groups               []groupStatus   `json:"groups"`
	Spares               []serverStatus  `json:"spares"`
	Servers              []serverStatus  `json:"servers"`
	Stations             []stationStatus `json:"stations"`
	Queues               []queueStatus   `json:"queues"`
	Budgets              []budgetStatus  `json:"budgets"`
}

type hostStatus struct {
	ID                   string `json:"id"`
	Live                 bool   `json:"live"`
	HeardAgoMS           int64  `json:"heard-ago-ms"`
	ConfigurationVersion int64  `json:"configuration-version"`
}

type groupStatus struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Model string `json:"model"`
	Head  string `json:"head"`
	Open  bool   `json:"open"`
}

type serverStatus struct {
	ID        string   `json:"id"`
	Service   string   `json:"service"`
	Domain    string   `json:"domain,omitempty"`
	Condition string   `json:"condition"`
	Group     string   `json:"group,omitempty"`
	State     string   `json:"state,omitempty"`
	Model     string   `json:"model,omitempty"`
	Staged    []string `json:"staged,omitempty"`
}

// stationStatus is the state of a server that takes requests: the leader of an open
// group, or a server outside groups.
type stationStatus struct {
	Server           string `json:"server"`
	Service          string `json:"service"`
	Model            string `json:"model,omitempty"`
	Open             bool   `json:"open"`
	Slots            int    `json:"slots"`
	Running          int    `json:"running"`
	RunningElsewhere int    `json:"running-elsewhere"`
}

type queueStatus struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Waiting int    `json:"waiting"`
}

// budgetStatus is the state of the retry budget of a service.
type budgetStatus struct {
	Service        string  `json:"service"`
	Requests       float64 `json:"requests"`
	Repeats        float64 `json:"repeats"`
	AllowedRepeats float64 `json:"allowed-repeats"`
}

// serveStatus responds to operators with the host's current view of the system.
func (h *Host) serveStatus(w http.ResponseWriter, _ *http.Request) {
	response := newStatusResponse(h.driver.View())
	response.InFlight = h.relayer.InFlightRequests()
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(response); err != nil {
		h.log.Info().Err(err).Msg("failed to write the status response")
	}
}

// serveMetrics responds with the counters and with gauges of the host's current
// view, in the Prometheus text format.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	h.meter.Write(w)
	v := h.driver.View()
	metrics.WriteGaugeFloat64(w, "fuchsiapitch_list_age_seconds", v.ListAge.Seconds())
	for _, s := range v.Replicas {
		if !s.Open {
			continue
		}
		labels := fmt.Sprintf("{service=%q,model=%q,server=%q}", s.Service, s.Model, s.Server)
		metrics.WriteGaugeUint64(w, "fuchsiapitch_places"+labels, uint64(s.Slots))
		metrics.WriteGaugeUint64(w, "fuchsiapitch_places_taken"+labels, uint64(s.LocalInFlight+s.RemoteInFlight))
	}
	for _, b := range v.RetryBudgets {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("fuchsiapitch_repeats_left{service=%q}", b.Service), b.AllowedRetries-b.Retries)
	}
}

func newStatusResponse(v coordinator.View) statusResponse {
	a := statusResponse{
		Host: string(v.Host), ConfigurationVersion: v.ConfigurationVersion, Leads: v.IsController, Holder: string(v.ClaimHolder), ClaimNumber: v.KnownClaim,
		ListAgeMS: v.ListAge.Milliseconds(), ListStale: v.ListStale,
	}
	for _, p := range v.Peers {
		a.Hosts = append(a.Hosts, hostStatus{ID: string(p.ID), Live: p.IsLive, HeardAgoMS: p.SinceLastHeartbeat.Milliseconds(), ConfigurationVersion: p.ConfigurationVersion})
	}
	listedGroups := make(map[string]bool)
	for _, g := range v.Groups {
		listedGroups[string(g.Ref.Name)] = true
		a.Groups = append(a.Groups, groupStatus{
			Name: string(g.Ref.Name), Epoch: g.Ref.Epoch, Model: g.Model, Head: string(g.Leader), Open: g.Open,
		})
	}
	for _, s := range v.Servers {
		status := newServerStatus(s)
		if s.Domain != "" && status.Condition == "usable" && !listedGroups[status.Group] {
			a.Spares = append(a.Spares, status)
			continue
		}
		a.Servers = append(a.Servers, status)
	}
	for _, s := range v.Replicas {
		a.Stations = append(a.Stations, stationStatus{
			Server: string(s.Server), Service: string(s.Service), Model: s.Model, Open: s.Open,
			Slots: s.Slots, Running: s.LocalInFlight, RunningElsewhere: s.RemoteInFlight,
		})
	}
	for _, q := range v.Queues {
		a.Queues = append(a.Queues, queueStatus{Service: string(q.Service), Model: q.Model, Waiting: q.Length})
	}
	for _, b := range v.RetryBudgets {
		a.Budgets = append(a.Budgets, budgetStatus{Service: string(b.Service), Requests: b.Requests, Repeats: b.Retries, AllowedRepeats: b.AllowedRetries})
	}
	return a
}

func newServerStatus(s coordinator.ServerView) serverStatus {
	status := serverStatus{
		ID: string(s.ID), Service: string(s.Service), Domain: string(s.Domain), Condition: s.Condition,
		Group: string(s.Membership.Group.Name), Model: s.LastModel, Staged: s.StagedModels,
	}
	if status.Group != "" {
		status.State = s.Membership.State.String()
	}
	return status
}
