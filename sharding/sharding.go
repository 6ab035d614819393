// Package sharding maps workers and submissions to shards. Every VM computes the same mapping from the configuration.
package sharding

import (
	"fmt"
	"sort"
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

// OfJob returns the home shard named in a job identifier.
func OfJob(id string) (string, bool) {
	shard, _, ok := strings.Cut(id, ".")
	return shard, ok && shard != ""
}

// Rank orders candidates by rendezvous hashing for a key: the first is the same on every VM, and few keys move when a
// candidate comes or goes.
func Rank(key string, candidates []string) []string {
	ranked := append([]string(nil), candidates...)
	weight := func(candidate string) uint64 { return xxhash.Sum64String(candidate + "\x00" + key) }
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weight(ranked[i]), weight(ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
