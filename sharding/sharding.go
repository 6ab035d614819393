// Package sharding maps workers and job identifiers to shards. Every VM computes the same mapping from the configuration.
package sharding

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Name returns the name of a shard of an availability zone.
func Name(zone string, index int) string { return fmt.Sprintf("%s-%d", zone, index) }

// Zone returns the availability zone of a shard.
func Zone(shard string) string {
	cut := strings.LastIndexByte(shard, '-')
	if cut < 0 {
		return shard
	}
	return shard[:cut]
}

// OfWorker returns the shard of a worker in a zone with the given number of shards.
func OfWorker(worker, zone string, shardsPerZone int) string {
	if shardsPerZone <= 1 {
		return Name(zone, 0)
	}
	return Name(zone, int(xxhash.Sum64String(worker)%uint64(shardsPerZone)))
}

// OfJob returns the home shard named in a job identifier, and false if the identifier names none.
func OfJob(id string) (string, bool) {
	shard, _, ok := strings.Cut(id, ".")
	return shard, ok && shard != ""
}
