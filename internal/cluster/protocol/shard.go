package protocol

import (
	"hash/fnv"
	"strconv"
)

// ConfigGroup is the name of the replica group that holds the configuration.
const ConfigGroup = "config"

// ShardCount is the number of shards among which jobs are distributed by the hash of their service's name. All
// processes must use the same ShardCount and the same ShardOf, because these determine in which shard a job is.
const ShardCount = 4

// ShardGroup returns the name of a shard's replica group.
func ShardGroup(shard int) string { return "jobs-" + strconv.Itoa(shard) }

// ShardOf returns the number of a service's shard, counted from 0.
func ShardOf(service string) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(service)) // it never fails
	sum := hash.Sum64()
	return int((sum ^ sum>>32) % ShardCount) // includes the upper half because FNV mixes the lowest bits least
}
