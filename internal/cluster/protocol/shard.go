package protocol

import (
	"hash/fnv"
	"strconv"
)

// ConfigGroup is the name of the replica group that holds the configuration.
const ConfigGroup = "config"

// ShardCount is over how many shards the jobs are spread, by a hash of their service's name. All
// processes must agree on it, and on ShardOf: a job is where its service's shard is.
const ShardCount = 4

// ShardGroup returns the name of a shard's replica group.
func ShardGroup(shard int) string { return "jobs-" + strconv.Itoa(shard) }

// ShardOf returns the shard of a service, from 0.
func ShardOf(service string) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(service)) // it never fails
	sum := hash.Sum64()
	return int((sum ^ sum>>32) % ShardCount) // the upper half too: FNV mixes the lowest bits least
}
