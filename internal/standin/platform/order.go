package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

type order struct {
	Op       string   `json:"op"`
	Expected *int64   `json:"expected"`
	Group    string   `json:"group"`
	Epoch    int64    `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
	Mode     string   `json:"close_mode"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.fleet.takeDelay() {
		time.AfterFunc(lateTime, func() { s.carryOut(o) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(s.carryOut(o))
}

// carryOut takes an order and returns the HTTP status.
func (s *Server) carryOut(o order) int {
	if o.Op == "join" {
		s.watchJoin(o)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.advance()
	if o.Expected != nil && *o.Expected != s.orders {
		return http.StatusConflict
	}
	return s.take(o)
}

// watchJoin notes a join of a server whose group takes requests.
func (s *Server) watchJoin(o order) {
	s.mutex.Lock()
	group, members, valid := s.group, slices.Clone(s.members), o.Expected == nil || *o.Expected == s.orders
	s.mutex.Unlock()
	if group == "" || group == o.Group || !valid {
		return
	}
	head := s.fleet.Server(members[0])
	if head == nil {
		return
	}
	head.mutex.Lock()
	open := head.group == group && (head.state == stateOpen || !head.opens.IsZero()) && !head.lost
	head.mutex.Unlock()
	if open {
		s.fleet.mutex.Lock()
		s.fleet.broken = append(s.fleet.broken, fmt.Sprintf("%s joins %s while %s is open", s.id, o.Group, group))
		s.fleet.mutex.Unlock()
	}
}

// take carries out an order and returns the HTTP status.
func (s *Server) take(o order) int {
	same := s.group == o.Group && s.epoch == o.Epoch
	switch {
	case o.Op == "join" && o.Epoch < s.seen:
		return http.StatusPreconditionFailed
	case o.Op == "join":
		s.join(o)
	case o.Op == "stage":
		s.staged = []string{o.Model}
	case o.Op == "open" && same && s.rank == 0 && s.state == stateReady:
		s.opens = time.Now().Add(formTime)
	case o.Op == "close" && same && s.state == stateOpen:
		s.state = stateReady
		if o.Mode == "evict" {
			s.cutStreams()
		}
	case o.Op == "leave" && same:
		s.group, s.state, s.members, s.opens = "", "", nil, time.Time{}
		s.assign(o.Epoch)
	default:
		return http.StatusConflict
	}
	s.orders++
	if o.Op == "leave" || o.Op == "close" {
		return http.StatusOK
	}
	return http.StatusAccepted
}

func (s *Server) join(o order) {
	s.group, s.epoch, s.seen, s.members = o.Group, o.Epoch, o.Epoch, o.Members
	s.rank, s.state, s.opens = slices.Index(o.Members, s.id), stateJoining, time.Time{}
	s.model = o.Model
	s.assign(o.Epoch)
}

// assign brings the engine in line with the group of the server.
func (s *Server) assign(epoch int64) {
	var a fuchsiapitch.Assignment
	if s.group != "" {
		members := make([]fuchsiapitch.ServerID, 0, len(s.members))
		for _, id := range s.members {
			members = append(members, fuchsiapitch.ServerID(id))
		}
		group := fuchsiapitch.GroupID(fmt.Sprintf("%s/%d", s.group, epoch))
		a = fuchsiapitch.NewAssignment(group, fuchsiapitch.ServiceName(s.service), members, s.model, "1")
	}
	s.engine.Order(fuchsiapitch.NewOrder(fuchsiapitch.NewFencingToken(fuchsiapitch.Term(epoch), 0), a))
}

// Load implements engine.Loader: it takes the time of a join.
func (s *Server) Load(ctx context.Context, model, _ string) bool {
	s.mutex.Lock()
	took := loadTime
	switch {
	case s.last == model:
		took = sameTime
	case slices.Contains(s.staged, model):
		took = warmTime
	default:
		s.staged = []string{model}
	}
	s.last = model
	s.mutex.Unlock()
	select {
	case <-time.After(took):
		return true
	case <-ctx.Done():
		return false
	}
}
