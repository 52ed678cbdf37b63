package platformassembler

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// statusResponse is the JSON document that operators get from /status.
type statusResponse struct {
	Host                 string              `json:"host"`
	ConfigurationVersion int64               `json:"configuration-version"`
	IsController         bool                `json:"leads"`
	ClaimHolder          string              `json:"holder"`
	ClaimNumber          int64               `json:"claim"`
	ServerListAgeMS      int64               `json:"list-age-ms"`
	ServerListStale      bool                `json:"list-stale"`
	StoreEra             int64               `json:"store-era,omitempty"`
	StoreRewinds         int                 `json:"store-rewinds,omitempty"`
	InFlight             int64               `json:"in-flight"`
	Hosts                []hostStatus        `json:"hosts"`
	Groups               []groupStatus       `json:"groups"`
	Spares               []serverStatus      `json:"spares"`
	Servers              []serverStatus      `json:"servers"`
	Replicas             []replicaStatus     `json:"stations"`
	Queues               []queueStatus       `json:"queues"`
	Pools                []poolStatus        `json:"pools"`
	ExcessCustomers      []customerStatus    `json:"customers-over-usual"`
	RetryBudgets         []retryBudgetStatus `json:"budgets"`
	QuarantinedParts     []string            `json:"quarantined-parts"`
	Evacuations          []evacuationState   `json:"evacuations"`
}

type hostStatus struct {
	ID                   string `json:"id"`
	IsLive               bool   `json:"live"`
	SinceHeardMS         int64  `json:"heard-ago-ms"`
	ConfigurationVersion int64  `json:"configuration-version"`
}

type groupStatus struct {
	Name   string `json:"name"`
	Epoch  int64  `json:"epoch"`
	Model  string `json:"model"`
	Leader string `json:"head"`
	Open   bool   `json:"open"`
}

type serverStatus struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Domain    string `json:"domain,omitempty"`
	Condition string `json:"condition"`
	// SaysLeaving is true if the server has stated itself that it leaves, PausedMS how long
	// it wants no requests from the host.
	SaysLeaving bool     `json:"says-leaving,omitempty"`
	PausedMS    int64    `json:"paused-ms,omitempty"`
	Group       string   `json:"group,omitempty"`
	State       string   `json:"state,omitempty"`
	Model       string   `json:"model,omitempty"`
	Staged      []string `json:"staged,omitempty"`
}

// replicaStatus is the state of a server that requests are sent to: the leader of an
// open group, or a server outside groups.
type replicaStatus struct {
	Server         string `json:"server"`
	Service        string `json:"service"`
	Model          string `json:"model,omitempty"`
	Open           bool   `json:"open"`
	Slots          int    `json:"slots"`
	LocalInFlight  int    `json:"running"`
	RemoteInFlight int    `json:"running-elsewhere"`
	// ColdMS is how long the server counts as cold, NextSendMS after what time the host may
	// send it the next request meanwhile.
	ColdMS     int64 `json:"cold-ms,omitempty"`
	NextSendMS int64 `json:"next-request-ms,omitempty"`
}

type queueStatus struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Home    string `json:"home,omitempty"`
	Waiting int    `json:"waiting"`
}

// retryBudgetStatus is the state of the retry budget of a service.
type retryBudgetStatus struct {
	Service        string  `json:"service"`
	Requests       float64 `json:"requests"`
	Retries        float64 `json:"repeats"`
	AllowedRetries float64 `json:"allowed-repeats"`
}

// serveStatus responds to operators with the host's current view of the system.
func (h *Host) serveStatus(w http.ResponseWriter, _ *http.Request) {
	response := newStatusResponse(h.driver.View())
	response.InFlight = h.relayer.InFlightRequests()
	response.StoreEra, response.StoreRewinds = h.era.current()
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
	cold := uint64(0)
	for _, s := range v.Replicas {
		if s.ColdFor > 0 {
			cold++
		}
	}
	metrics.WriteGaugeUint64(w, "fuchsiapitch_cold_servers", cold)
	for _, n := range v.Evacuations {
		evacuated := uint64(0)
		if n.Evacuated {
			evacuated = 1
		}
		metrics.WriteGaugeUint64(w, fmt.Sprintf("fuchsiapitch_evacuated{data_centre=%q}", n.DataCentre), evacuated)
	}
	writePoolMetrics(w, v)
	for _, b := range v.RetryBudgets {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("fuchsiapitch_repeats_left{service=%q}", b.Service), b.AllowedRetries-b.Retries)
	}
}

func newStatusResponse(v coordinator.View) statusResponse {
	body := statusResponse{
		Host: string(v.Host), ConfigurationVersion: v.ConfigurationVersion, IsController: v.IsController, ClaimHolder: string(v.ClaimHolder), ClaimNumber: v.KnownClaim,
		ServerListAgeMS: v.ListAge.Milliseconds(), ServerListStale: v.ListStale, Evacuations: encodeEvacuations(v.Evacuations),
		Pools: encodePools(v.Pools), ExcessCustomers: encodeExcess(v.ExcessCustomers),
	}
	for _, p := range v.Peers {
		body.Hosts = append(body.Hosts, hostStatus{ID: string(p.ID), IsLive: p.IsLive, SinceHeardMS: p.SinceLastHeartbeat.Milliseconds(), ConfigurationVersion: p.ConfigurationVersion})
	}
	listedGroups := make(map[string]bool)
	for _, g := range v.Groups {
		listedGroups[string(g.Ref.Name)] = true
		body.Groups = append(body.Groups, groupStatus{
			Name: string(g.Ref.Name), Epoch: g.Ref.Epoch, Model: g.Model, Leader: string(g.Leader), Open: g.Open,
		})
	}
	for _, s := range v.Servers {
		status := newServerStatus(s)
		if s.Domain != "" && status.Condition == "usable" && !listedGroups[status.Group] {
			body.Spares = append(body.Spares, status)
			continue
		}
		body.Servers = append(body.Servers, status)
	}
	for _, s := range v.Replicas {
		body.Replicas = append(body.Replicas, replicaStatus{
			Server: string(s.Server), Service: string(s.Service), Model: s.Model, Open: s.Open,
			Slots: s.Slots, LocalInFlight: s.LocalInFlight, RemoteInFlight: s.RemoteInFlight,
			ColdMS: s.ColdFor.Milliseconds(), NextSendMS: s.NextSendIn.Milliseconds(),
		})
	}
	for _, q := range v.Queues {
		status := queueStatus{Service: string(q.Service), Model: q.Model, Waiting: q.Length}
		if q.Home != confiner.Anywhere {
			status.Home = q.Home.String()
		}
		body.Queues = append(body.Queues, status)
	}
	for _, p := range v.QuarantinedParts {
		body.QuarantinedParts = append(body.QuarantinedParts, p.String())
	}
	for _, b := range v.RetryBudgets {
		body.RetryBudgets = append(body.RetryBudgets, retryBudgetStatus{Service: string(b.Service), Requests: b.Requests, Retries: b.Retries, AllowedRetries: b.AllowedRetries})
	}
	return body
}

func newServerStatus(s coordinator.ServerView) serverStatus {
	status := serverStatus{
		ID: string(s.ID), Service: string(s.Service), Domain: string(s.Domain), Condition: s.Condition, SaysLeaving: s.SaysLeaving, PausedMS: s.PausedFor.Milliseconds(),
		Group: string(s.Membership.Group.Name), Model: s.LastModel, Staged: s.StagedModels,
	}
	if status.Group != "" {
		status.State = s.Membership.State.String()
	}
	return status
}
