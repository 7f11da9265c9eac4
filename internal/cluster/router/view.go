package router

import (
	"slices"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// View is one version of the configuration, with what a dispatcher needs to route requests by it. It is
// never changed, only replaced as a whole, so that it may be read without a lock.
type View struct {
	// Config is the configuration itself.
	Config *opconfig.Config
	// ServiceHistories holds the queues, by name, that were routed to several services so far.
	ServiceHistories map[string]opconfig.ServiceHistory
}

// services returns the services that may hold jobs of a queue: the current one, then the former ones, the
// latest first.
func (v *View) services(route *opconfig.Route) []string {
	services := []string{route.Backend}
	former := v.ServiceHistories[route.Queue()].Services
	for _, service := range slices.Backward(former) {
		if service != route.Backend {
			services = append(services, service)
		}
	}
	return services
}

// shards returns the shards that may hold jobs of a queue, each once and the current one first.
func (v *View) shards(route *opconfig.Route) []int {
	var shards []int
	for _, service := range v.services(route) {
		if shard := protocol.ShardOf(service); !slices.Contains(shards, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}
