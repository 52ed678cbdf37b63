package assembler

import (
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// statusBody is the answer of /status.
type statusBody struct {
	Host                string           `json:"host"`
	DataCentre          string           `json:"data-centre"`
	Ready               bool             `json:"ready"`
	Stopping            bool             `json:"stopping"`
	InFlight            int              `json:"in-flight"`
	Violations          int              `json:"violations"`
	ConfigurationOffset uint64           `json:"configuration-offset"`
	ConfigurationHash   uint64           `json:"configuration-hash"`
	Hosts               []hostStatus     `json:"hosts"`
	Controller          controllerStatus `json:"controller"`
	Groups              []groupStatus    `json:"groups"`
	Stranded            []strandedStatus `json:"stranded"`
	Unfinished          []unfinished     `json:"unfinished,omitempty"`
}

// hostStatus is a live entry host of the data centre.
type hostStatus struct {
	Host        string `json:"host"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

// controllerStatus is the lease of the data centre's controller.
type controllerStatus struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	Acting bool   `json:"acting"`
}

// groupStatus is a group of backend servers.
type groupStatus struct {
	Group      string   `json:"group"`
	Service    string   `json:"service"`
	Members    []string `json:"members"`
	Version    string   `json:"version"`
	Dispatched bool     `json:"dispatched"`
	Whole      bool     `json:"whole"`
	Fault      string   `json:"fault"`
}

// strandedStatus is a backend server outside every working group.
type strandedStatus struct {
	Server string `json:"server"`
	Reason string `json:"reason"`
}

// unfinished is a request that a stopping host still holds.
type unfinished struct {
	Request     string `json:"request"`
	Service     string `json:"service"`
	Customer    string `json:"customer"`
	MayHaveRun  bool   `json:"may-have-run"`
	RemainingMS int64  `json:"remaining-ms"`
}

// describe fills an answer from the state.
func describe(body *statusBody, s *reducer.State) {
	body.Stopping = s.Stopping()
	body.Ready = !s.Stopping() && s.ConfigurationReady()
	body.InFlight = s.InFlight()
	body.ConfigurationOffset = uint64(s.Configuration().Offset())
	body.ConfigurationHash = s.Configuration().Hash()
	for _, h := range s.LiveHosts() {
		body.Hosts = append(body.Hosts, hostStatus{Host: string(h.ID()), Address: h.Address(), Incarnation: h.Incarnation()})
	}
	describeGroups(body, s.GroupStatus())
	if !s.Stopping() {
		return
	}
	for _, u := range s.UnfinishedRequests() {
		body.Unfinished = append(body.Unfinished, unfinished{
			Request: string(u.Request), Service: string(u.Service), Customer: string(u.Customer),
			MayHaveRun: u.MayHaveRun, RemainingMS: u.Remaining.Milliseconds(),
		})
	}
}

func describeGroups(body *statusBody, s grouper.Status) {
	body.Controller = controllerStatus{Holder: string(s.Holder), Term: uint64(s.Term), Acting: s.Acting}
	for _, g := range s.Groups {
		entry := groupStatus{
			Group: string(g.Group.ID), Service: string(g.Group.Service), Version: g.Group.Version,
			Dispatched: g.DispatchedHere, Whole: g.Whole, Fault: g.Fault.String(),
		}
		for _, m := range g.Group.Members {
			entry.Members = append(entry.Members, string(m))
		}
		body.Groups = append(body.Groups, entry)
	}
	for _, t := range s.Stranded {
		body.Stranded = append(body.Stranded, strandedStatus{Server: string(t.Server), Reason: t.Reason})
	}
}
