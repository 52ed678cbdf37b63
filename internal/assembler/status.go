package assembler

import (
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// statusResponse is the response body of /status.
type statusResponse struct {
	Host                string              `json:"host"`
	DataCentre          string              `json:"data-centre"`
	Ready               bool                `json:"ready"`
	Stopping            bool                `json:"stopping"`
	InFlight            int                 `json:"in-flight"`
	Violations          int                 `json:"violations"`
	ConfigurationOffset uint64              `json:"configuration-offset"`
	ConfigurationHash   uint64              `json:"configuration-hash"`
	Hosts               []hostStatus        `json:"hosts"`
	Controller          controllerStatus    `json:"controller"`
	Groups              []groupStatus       `json:"groups"`
	Stranded            []strandedStatus    `json:"stranded"`
	Unfinished          []unfinishedRequest `json:"unfinished,omitempty"`
}

// hostStatus describes a live entry host of the data centre.
type hostStatus struct {
	Host        string `json:"host"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

// controllerStatus describes the data centre's controller: the host that holds the
// role, its term, and whether this host is the controller and gives orders.
type controllerStatus struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	Acting bool   `json:"acting"`
}

// groupStatus describes a group of backend servers. DispatchedHere is true if this
// host is the group's dispatcher, Whole if the group has no fault.
type groupStatus struct {
	Group          string   `json:"group"`
	Service        string   `json:"service"`
	Members        []string `json:"members"`
	Version        string   `json:"version"`
	DispatchedHere bool     `json:"dispatched"`
	Whole          bool     `json:"whole"`
	Fault          string   `json:"fault"`
}

// strandedStatus describes a backend server that is in no working group.
type strandedStatus struct {
	Server string `json:"server"`
	Reason string `json:"reason"`
}

// unfinishedRequest describes a request in flight at a stopping host.
type unfinishedRequest struct {
	Request     string `json:"request"`
	Service     string `json:"service"`
	Customer    string `json:"customer"`
	MayHaveRun  bool   `json:"may-have-run"`
	RemainingMS int64  `json:"remaining-ms"`
}

// fillStatus fills a response from the state. Requests in flight are listed only
// while the host is stopping.
func fillStatus(response *statusResponse, s *reducer.State) {
	response.Stopping = s.Stopping()
	response.Ready = !s.Stopping() && s.ConfigurationReady()
	response.InFlight = s.InFlight()
	response.ConfigurationOffset = uint64(s.Configuration().Offset())
	response.ConfigurationHash = s.Configuration().Hash()
	for _, h := range s.LiveHosts() {
		response.Hosts = append(response.Hosts, hostStatus{Host: string(h.ID()), Address: h.Address(), Incarnation: h.Incarnation()})
	}
	fillGroupStatus(response, s.GroupStatus())
	if !s.Stopping() {
		return
	}
	for _, u := range s.UnfinishedRequests() {
		response.Unfinished = append(response.Unfinished, unfinishedRequest{
			Request: string(u.Request), Service: string(u.Service), Customer: string(u.Customer),
			MayHaveRun: u.MayHaveRun, RemainingMS: u.Remaining.Milliseconds(),
		})
	}
}

// fillGroupStatus fills in the controller, the groups and the stranded servers.
func fillGroupStatus(response *statusResponse, s grouper.Status) {
	response.Controller = controllerStatus{Holder: string(s.Holder), Term: uint64(s.Term), Acting: s.Acting}
	for _, g := range s.Groups {
		entry := groupStatus{
			Group: string(g.Group.ID), Service: string(g.Group.Service), Version: g.Group.Version,
			DispatchedHere: g.DispatchedHere, Whole: g.Whole, Fault: g.Fault.String(),
		}
		for _, m := range g.Group.Members {
			entry.Members = append(entry.Members, string(m))
		}
		response.Groups = append(response.Groups, entry)
	}
	for _, t := range s.Stranded {
		response.Stranded = append(response.Stranded, strandedStatus{Server: string(t.Server), Reason: t.Reason})
	}
}
