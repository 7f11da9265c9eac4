package router

import (
	"slices"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// View is one version of the configuration, as a dispatcher acts on it. It is replaced as a
// whole and never changed, so that it may be read without a lock.
type View struct {
	// Config is the configuration itself.
	Config *opconfig.Config
	// ServiceHistories holds the queues, by name, that were routed to several services so far.
	ServiceHistories map[string]opconfig.ServiceHistory
}

// services lists the services that may hold jobs of a queue: the present one first, then the
// former ones, the latest first.
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

// shards lists the shards that may hold jobs of a queue, each once, the present one first.
func (v *View) shards(route *opconfig.Route) []int {
	var shards []int
	for _, service := range v.services(route) {
		if shard := protocol.ShardOf(service); !slices.Contains(shards, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}
