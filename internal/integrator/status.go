package integrator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
)

// statusAnswer is the state of a host as operators read it.
type statusAnswer struct {
	Host          string          `json:"host"`
	Configuration int64           `json:"configuration-version"`
	Leads         bool            `json:"leads"`
	Holder        string          `json:"holder"`
	Claim         int64           `json:"claim"`
	ListAgeMS     int64           `json:"list-age-ms"`
	ListStale     bool            `json:"list-stale"`
	InFlight      int64           `json:"in-flight"`
	Hosts         []hostStatus    `json:"hosts"`
	Groups        []groupStatus   `json:"groups"`
	Spares        []serverStatus  `json:"spares"`
	Servers       []serverStatus  `json:"servers"`
	Stations      []stationStatus `json:"stations"`
	Queues        []queueStatus   `json:"queues"`
	Budgets       []budgetStatus  `json:"budgets"`
}

type hostStatus struct {
	ID            string `json:"id"`
	Live          bool   `json:"live"`
	HeardAgoMS    int64  `json:"heard-ago-ms"`
	Configuration int64  `json:"configuration-version"`
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

type stationStatus struct {
	Server    string `json:"server"`
	Service   string `json:"service"`
	Model     string `json:"model,omitempty"`
	Open      bool   `json:"open"`
	Slots     int    `json:"slots"`
	Running   int    `json:"running"`
	Elsewhere int    `json:"running-elsewhere"`
}

type queueStatus struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Waiting int    `json:"waiting"`
}

type budgetStatus struct {
	Service  string  `json:"service"`
	Requests float64 `json:"requests"`
	Repeats  float64 `json:"repeats"`
	Allowed  float64 `json:"allowed-repeats"`
}

// status answers operators with what the host believes.
func (h *Host) status(w http.ResponseWriter, _ *http.Request) {
	answer := encodeView(h.driver.View())
	answer.InFlight = h.relayer.Active()
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(answer); err != nil {
		h.log.Info().Err(err).Msg("status cannot be sent")
	}
}

// metrics answers with the counters and with what the host believes now.
func (h *Host) metrics(w http.ResponseWriter, _ *http.Request) {
	h.meter.Write(w)
	v := h.driver.View()
	metrics.WriteGaugeFloat64(w, "fuchsiapitch_list_age_seconds", v.ListAge.Seconds())
	for _, s := range v.Stations {
		if !s.Open {
			continue
		}
		labels := fmt.Sprintf("{service=%q,model=%q,server=%q}", s.Service, s.Model, s.Server)
		metrics.WriteGaugeUint64(w, "fuchsiapitch_places"+labels, uint64(s.Slots))
		metrics.WriteGaugeUint64(w, "fuchsiapitch_places_taken"+labels, uint64(s.Running+s.Elsewhere))
	}
	for _, b := range v.Budgets {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("fuchsiapitch_repeats_left{service=%q}", b.Service), b.Allowed-b.Repeats)
	}
}

func encodeView(v conductor.View) statusAnswer {
	a := statusAnswer{
		Host: string(v.Host), Configuration: v.Version, Leads: v.Leads, Holder: string(v.Holder), Claim: v.KnownClaim,
		ListAgeMS: v.ListAge.Milliseconds(), ListStale: v.ListStale,
	}
	for _, p := range v.Peers {
		a.Hosts = append(a.Hosts, hostStatus{ID: string(p.ID), Live: p.Live, HeardAgoMS: p.Heard.Milliseconds(), Configuration: p.Version})
	}
	grouped := make(map[string]bool)
	for _, g := range v.Groups {
		grouped[string(g.Ref.Name)] = true
		a.Groups = append(a.Groups, groupStatus{
			Name: string(g.Ref.Name), Epoch: g.Ref.Epoch, Model: g.Model, Head: string(g.Head), Open: g.Open,
		})
	}
	for _, s := range v.Servers {
		line := encodeServer(s)
		if s.Domain != "" && line.Condition == "usable" && !grouped[line.Group] {
			a.Spares = append(a.Spares, line)
			continue
		}
		a.Servers = append(a.Servers, line)
	}
	for _, s := range v.Stations {
		a.Stations = append(a.Stations, stationStatus{
			Server: string(s.Server), Service: string(s.Service), Model: s.Model, Open: s.Open,
			Slots: s.Slots, Running: s.Running, Elsewhere: s.Elsewhere,
		})
	}
	for _, q := range v.Queues {
		a.Queues = append(a.Queues, queueStatus{Service: string(q.Service), Model: q.Model, Waiting: q.Waiting})
	}
	for _, b := range v.Budgets {
		a.Budgets = append(a.Budgets, budgetStatus{Service: string(b.Service), Requests: b.Requests, Repeats: b.Repeats, Allowed: b.Allowed})
	}
	return a
}

func encodeServer(s conductor.ServerView) serverStatus {
	line := serverStatus{
		ID: string(s.ID), Service: string(s.Service), Domain: string(s.Domain), Condition: s.Condition,
		Group: string(s.Membership.Group.Name), Model: s.Model, Staged: s.Staged,
	}
	if line.Group != "" {
		line.State = s.Membership.State.String()
	}
	return line
}
