package shardlog

import (
	"fmt"
)

// Prefix returns the prefix of a shard's log keys.
func Prefix(shard string) string { return "log/" + shard + "/" }

// SnapshotPrefix returns the prefix of a shard's snapshot chunks.
func SnapshotPrefix(shard string) string { return "snap/" + shard + "/" }

// HeadKey returns the key of a shard's snapshot manifest.
func HeadKey(shard string) string { return "snaphead/" + shard }

func entryKey(shard string, sequence int64) string {
	return fmt.Sprintf("%s%016d", Prefix(shard), sequence)
}

// chunkPrefix includes a nonce besides the sequence, so that chunks of an interrupted snapshot never mix with those of
// a later one.
func chunkPrefix(shard string, sequence int64, nonce string) string {
	return fmt.Sprintf("%s%016d-%s/", SnapshotPrefix(shard), sequence, nonce)
}

func chunkKey(prefix string, chunk int) string { return fmt.Sprintf("%s%06d", prefix, chunk) }
