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

// orderRequest is the JSON form of an order to a server.
type orderRequest struct {
	Operation              string   `json:"op"`
	ExpectedAcceptedOrders *int64   `json:"expected"`
	Group                  string   `json:"group"`
	Epoch                  int64    `json:"epoch"`
	Model                  string   `json:"model"`
	Members                []string `json:"members"`
	CloseMode              string   `json:"close_mode"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.fleet.consumeOrderDelay() {
		time.AfterFunc(orderDelay, func() { s.executeOrder(o) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(s.executeOrder(o))
}

// executeOrder checks and applies an order and returns the HTTP status.
func (s *Server) executeOrder(o orderRequest) int {
	if o.Operation == "join" {
		s.checkJoin(o)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateState()
	if o.ExpectedAcceptedOrders != nil && *o.ExpectedAcceptedOrders != s.acceptedOrders {
		return http.StatusConflict
	}
	return s.applyOrder(o)
}

// checkJoin records a violation if an order makes a server join another group while its
// current group accepts requests, is about to, or has requests left.
func (s *Server) checkJoin(o orderRequest) {
	s.mutex.Lock()
	group, members, matchesExpected := s.group, slices.Clone(s.members), o.ExpectedAcceptedOrders == nil || *o.ExpectedAcceptedOrders == s.acceptedOrders
	s.mutex.Unlock()
	if group == "" || group == o.Group || !matchesExpected {
		return
	}
	leader := s.fleet.Server(members[0])
	if leader == nil {
		return
	}
	leader.mutex.Lock()
	leader.updateState()
	isOpen := leader.group == group && (leader.state == stateOpen || leader.state == stateClosing || !leader.opensAt.IsZero()) && !leader.isLost
	leader.mutex.Unlock()
	if isOpen {
		s.fleet.recordViolation(fmt.Sprintf("%s joins %s while %s is open", s.id, o.Group, group))
	}
}

// applyOrder applies an order and returns the HTTP status. Callers hold the lock.
func (s *Server) applyOrder(o orderRequest) int {
	isCurrentGroup := s.group == o.Group && s.epoch == o.Epoch
	switch {
	case o.Operation == "join" && o.Epoch < s.highestEpoch:
		return http.StatusPreconditionFailed
	case o.Operation == "join":
		s.join(o)
	case o.Operation == "stage":
		s.stagedModels = []string{o.Model}
	case o.Operation == "open" && isCurrentGroup && s.rank == 0 && s.state == stateReady:
		s.opensAt = time.Now().Add(openTime)
	case o.Operation == "close" && o.CloseMode == "evict" && isCurrentGroup && (s.state == stateOpen || s.state == stateClosing):
		s.state = stateReady
		s.cancelStreams()
	case o.Operation == "close" && isCurrentGroup && s.state == stateOpen:
		s.state = stateClosing
	case o.Operation == "leave" && isCurrentGroup:
		s.group, s.state, s.members, s.opensAt = "", "", nil, time.Time{}
		s.assignEngine(o.Epoch)
	default:
		return http.StatusConflict
	}
	s.acceptedOrders++
	if o.Operation == "leave" || o.Operation == "close" && o.CloseMode == "evict" {
		return http.StatusOK
	}
	return http.StatusAccepted
}

func (s *Server) join(o orderRequest) {
	s.group, s.epoch, s.highestEpoch, s.members = o.Group, o.Epoch, o.Epoch, o.Members
	s.rank, s.state, s.opensAt = slices.Index(o.Members, s.id), stateJoining, time.Time{}
	s.model = o.Model
	s.assignEngine(o.Epoch)
}

// assignEngine orders the engine to take the assignment of the current group of the
// server, or none. Callers hold the lock.
func (s *Server) assignEngine(epoch int64) {
	var a fuchsiapitch.Assignment
	if s.group != "" {
		members := make([]fuchsiapitch.ServerID, 0, len(s.members))
		for _, id := range s.members {
			members = append(members, fuchsiapitch.ServerID(id))
		}
		group := fuchsiapitch.GroupID(fmt.Sprintf("%s/%d", s.group, epoch))
		a = fuchsiapitch.NewAssignment(group, fuchsiapitch.ServiceName(s.service), members, s.model, "1")
	}
	s.engine.ExecuteOrder(fuchsiapitch.NewOrder(fuchsiapitch.NewFencingToken(fuchsiapitch.Term(epoch), 0), a))
}

// Load implements engine.Loader. It blocks for the load time of a join, which depends on
// whether the model was the last one loaded, is staged or has to be fetched.
func (s *Server) Load(ctx context.Context, model, _ string) bool {
	s.mutex.Lock()
	loadTime := coldLoadTime
	switch {
	case s.lastLoadedModel == model:
		loadTime = sameModelLoadTime
	case slices.Contains(s.stagedModels, model):
		loadTime = stagedLoadTime
	default:
		s.stagedModels = []string{model}
	}
	s.lastLoadedModel = model
	s.mutex.Unlock()
	select {
	case <-time.After(loadTime):
		return true
	case <-ctx.Done():
		return false
	}
}
