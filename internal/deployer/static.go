package deployer

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/orderer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// AssignSingly orders each engine into a group of its own that serves a model
// service, waits until all are ready and returns the replicas. It stands in for
// a controller where an experiment looks at the data path alone.
func (d *Deployment) AssignSingly(ctx context.Context, service fuchsiapitch.Service) ([]fuchsiapitch.Replica, error) {
	controls, closeControls := orderer.New()
	defer closeControls()
	var replicas []fuchsiapitch.Replica
	for _, b := range d.fleet.BackendServers() {
		switch {
		case b.Kind() == fuchsiapitch.ApplicationServer:
			replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(b.ID()), b.Service(), b, service.Concurrency(), ""))
			continue
		case service.Kind() != fuchsiapitch.ModelService:
			continue
		}
		group := fuchsiapitch.GroupID("group-" + string(b.ID()))
		assignment := fuchsiapitch.NewAssignment(group, service.Name(), []fuchsiapitch.ServerID{b.ID()}, service.Model(), service.Version())
		if _, err := controls.Order(ctx, b, fuchsiapitch.NewOrder(fuchsiapitch.NewFence(1, 1), assignment)); err != nil {
			return nil, trace.Wrap(err)
		}
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(group), service.Name(), b, service.Concurrency(), service.Version()))
	}
	err := Await(ctx, func() bool {
		for _, e := range d.fleet.Engines() {
			if !e.Account().Ready() {
				return false
			}
		}
		return true
	})
	return replicas, trace.Wrap(err)
}

// Describe gives every entry host a configuration and the replicas of its data
// centre, in place of what it would learn from the log.
func (d *Deployment) Describe(ctx context.Context, configuration fuchsiapitch.Configuration, replicas []fuchsiapitch.Replica) {
	for _, r := range d.hosts {
		var local []fuchsiapitch.Replica
		for _, p := range replicas {
			if p.Server().DataCentre() == r.entry.Self().DataCentre() {
				local = append(local, p)
			}
		}
		r.entry.Runner().Submit(ctx, reducer.FleetDescribed{Configuration: configuration, Replicas: local})
	}
}
