package shardlog

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/storeclient"
)

const (
	// defaultSnapshotEntries keeps the chunk writes of a shard well below its commits. Each entry also costs one
	// deletion.
	defaultSnapshotEntries = 1024
	defaultSnapshotBytes   = 8 << 20
	// snapshotTimeout bounds writing one snapshot together with the deletions after it, for which it leaves time. After a
	// timeout, the next snapshot that is due starts anew.
	snapshotTimeout = 3 * time.Minute
	// maxHeadRounds bounds the attempts to write the manifest after conflicts and failed calls.
	maxHeadRounds = 3
)

// logGrowth counts the entries and bytes written since the last snapshot.
type logGrowth struct {
	entries int
	bytes   int
}

// headState is the snapshot manifest and its chunks as last read or written.
type headState struct {
	revision infra.Revision
	sequence int64
	nonce    string
	count    int
	chunks   []storedKey
	// obsolete are chunks of other snapshots, which may be deleted once the next manifest is written.
	obsolete []storedKey
}

// snapshotPlan is a snapshot to be written. It holds the state of the log at sequence.
type snapshotPlan struct {
	sequence  int64
	nonce     string
	chunks    [][]byte
	head      []byte
	expected  infra.Revision
	obsolete  []storedKey
	deletable []storedKey
}

// snapshotResult is the outcome of writing a plan.
type snapshotResult struct {
	err error
	// head is the new manifest. After an error, only its chunks are used, and the stored manifest may or may not name
	// them.
	head headState
	// deleted are the keys of log entries that no longer exist.
	deleted map[string]bool
}

func (l *Log) trackEntry(key storedKey, size int) {
	l.stored = append(l.stored, key)
	l.sinceSnapshot.entries++
	l.sinceSnapshot.bytes += size
}

func (l *Log) snapshotDue() bool {
	due := l.sinceSnapshot.entries >= l.options.SnapshotEntries || l.sinceSnapshot.bytes >= l.options.SnapshotBytes
	return due && l.options.Snapshot != nil && l.snapshot == nil && l.options.Check() == nil
}

// startSnapshot starts writing a snapshot, concurrently with commits, if one is due.
func (l *Log) startSnapshot() {
	if !l.snapshotDue() {
		return
	}
	plan, err := l.planSnapshot()
	if err != nil {
		l.options.Metrics.snapshotFailed.Inc()
		return
	}
	result := make(chan snapshotResult, 1)
	l.snapshot = result
	go func() {
		ctx, cancel := clock.WithTimeout(l.baseCtx, l.options.Clock, snapshotTimeout)
		defer cancel()
		result <- l.writeSnapshot(ctx, plan)
	}()
}

// collectSnapshot applies the result of the snapshot in progress if it has ended.
func (l *Log) collectSnapshot() {
	select {
	case result := <-l.snapshot:
		l.snapshot = nil
		l.applySnapshotResult(result)
	default:
	}
}

// awaitSnapshot cancels the snapshot in progress and waits for it. A later snapshot deletes the keys that it leaves.
func (l *Log) awaitSnapshot() {
	l.stop()
	if l.snapshot != nil {
		<-l.snapshot
	}
}

func (l *Log) applySnapshotResult(result snapshotResult) {
	if result.err != nil {
		l.options.Metrics.snapshotFailed.Inc()
		l.head.obsolete = append(l.head.obsolete, result.head.chunks...)
		return
	}
	l.options.Metrics.snapshots.Inc()
	l.head = result.head
	kept := l.stored[:0]
	for _, key := range l.stored {
		if !result.deleted[key.key] {
			kept = append(kept, key)
		}
	}
	l.stored = kept
}

// planSnapshot captures the state at the current sequence. It resets sinceSnapshot, so that a failed snapshot is
// retried only after as many further entries or bytes.
func (l *Log) planSnapshot() (*snapshotPlan, error) {
	l.sinceSnapshot = logGrowth{}
	plan := &snapshotPlan{sequence: l.sequence, nonce: l.nonces.generate(), expected: l.head.revision}
	if err := l.encodeChunks(plan, l.options.Snapshot()); err != nil {
		return nil, err
	}
	head, err := encode(kindHead, &siskinv1.SnapshotHead{
		Format: Format, Shard: l.options.Shard, Sequence: plan.sequence, Chunks: int32(len(plan.chunks)),
		Writer: l.options.Writer, Nonce: plan.nonce, Epoch: l.options.Epoch,
	})
	if err != nil {
		return nil, err
	}
	plan.head = head
	plan.obsolete = append(append(plan.obsolete, l.head.chunks...), l.head.obsolete...)
	if l.options.Clock.Now().Sub(l.fencedAt) >= l.rules.keyRetention {
		for _, key := range l.stored {
			if key.sequence <= plan.sequence {
				plan.deletable = append(plan.deletable, key)
			}
		}
	}
	return plan, nil
}

func (l *Log) encodeChunks(plan *snapshotPlan, records []*siskinv1.Record) error {
	for first := 0; first < len(records) || len(plan.chunks) == 0; {
		end, size := first, 0
		for end < len(records) && (end == first || size+proto.Size(records[end])+recordOverhead <= maxEntryBytes) {
			size += proto.Size(records[end]) + recordOverhead
			end++
		}
		value, err := encode(kindChunk, &siskinv1.SnapshotChunk{
			Format: Format, Shard: l.options.Shard, Sequence: plan.sequence,
			Chunk: int32(len(plan.chunks)), Records: records[first:end],
		})
		if err != nil {
			return err
		}
		plan.chunks = append(plan.chunks, value)
		first = end
	}
	return nil
}

// writeSnapshot writes the chunks, then the manifest, then deletes the keys that the manifest has made obsolete. A
// crash between two steps leaves either the old or the new manifest with all its chunks and all entries after it.
func (l *Log) writeSnapshot(ctx context.Context, plan *snapshotPlan) snapshotResult {
	head := headState{sequence: plan.sequence, nonce: plan.nonce, count: len(plan.chunks)}
	prefix := chunkPrefix(l.options.Shard, plan.sequence, plan.nonce)
	for i, value := range plan.chunks {
		key := chunkKey(prefix, i)
		revision, err := l.putChunk(ctx, key, value)
		if err != nil {
			return snapshotResult{err: err, head: head}
		}
		head.chunks = append(head.chunks, storedKey{key: key, revision: revision, sequence: plan.sequence})
	}
	revision, err := l.putHead(ctx, plan)
	if err != nil {
		return snapshotResult{err: err, head: head}
	}
	head.revision = revision
	result := snapshotResult{head: head, deleted: map[string]bool{}}
	for _, key := range plan.obsolete {
		if !l.remove(ctx, key) {
			result.head.obsolete = append(result.head.obsolete, key)
		}
	}
	for _, key := range plan.deletable {
		if l.remove(ctx, key) {
			result.deleted[key.key] = true
		}
		if l.isClosing() || l.sleep(ctx, l.deletionPause()) != nil {
			break // the next snapshot deletes the rest
		}
	}
	return result
}

// deletionPause is the time between two deletions. Without it, deletions use up the VM's write rate. With 9/10 of the
// commit interval they are slightly more frequent than commits, so that they keep up with them.
func (l *Log) deletionPause() time.Duration { return l.options.CommitInterval * 9 / 10 }

// putChunk writes a chunk. Its key includes the nonce of the snapshot, so an existing key is from an earlier attempt of
// this call.
func (l *Log) putChunk(ctx context.Context, key string, value []byte) (infra.Revision, error) {
	backoff := storeclient.NewBackoff(retryMin, retryMax, l.options.Random)
	for {
		if err := l.options.Check(); err != nil {
			return 0, err
		}
		revision, err := l.putSnapshot(ctx, infra.PutRequest{Key: key, Value: value})
		if errors.Is(err, infra.ErrConflict) {
			kv, getErr := l.getSnapshot(ctx, key)
			revision, err = kv.Revision, getErr
		}
		if err == nil || errors.Is(err, infra.ErrNotFound) {
			return revision, err
		}
		if err := l.sleep(ctx, backoff.Next()); err != nil {
			return 0, err
		}
	}
}

// putHead writes the manifest by compare-and-swap and resolves a conflict or a lost response by reading it back.
func (l *Log) putHead(ctx context.Context, plan *snapshotPlan) (infra.Revision, error) {
	key := HeadKey(l.options.Shard)
	expected := plan.expected
	for range maxHeadRounds {
		if err := l.options.Check(); err != nil {
			return 0, err
		}
		revision, err := l.putSnapshot(ctx, infra.PutRequest{Key: key, Value: plan.head, Expected: expected})
		if err == nil {
			return revision, nil
		}
		var found headState
		if err := l.readHead(ctx, &found); err != nil {
			return 0, err
		}
		if found.nonce == plan.nonce && found.revision != 0 {
			return found.revision, nil
		}
		if found.sequence > plan.sequence {
			return 0, eris.Wrapf(ErrFenced, "manifest covers sequence %d", found.sequence)
		}
		expected = found.revision
	}
	return 0, eris.Wrap(ErrUnknown, "write manifest")
}

// remove deletes a key whose value is known to be readable and covered by the manifest, and reports whether it is gone.
func (l *Log) remove(ctx context.Context, key storedKey) bool {
	if l.options.Check() != nil || ctx.Err() != nil {
		return false
	}
	ctx, cancel := clock.WithTimeout(ctx, l.options.Clock, writeTimeout)
	defer cancel()
	err := l.options.SnapshotStore.Delete(ctx, key.key, key.revision)
	if err == nil {
		l.options.Metrics.deleted.Inc()
	}
	return err == nil || errors.Is(err, infra.ErrNotFound)
}

func (l *Log) putSnapshot(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	ctx, cancel := clock.WithTimeout(ctx, l.options.Clock, writeTimeout)
	defer cancel()
	return l.options.SnapshotStore.Put(ctx, request)
}

func (l *Log) getSnapshot(ctx context.Context, key string) (infra.KeyValue, error) {
	ctx, cancel := clock.WithTimeout(ctx, l.options.Clock, writeTimeout)
	defer cancel()
	return l.options.SnapshotStore.Get(ctx, key)
}

// isClosing reports whether the log is being closed, so that deletions do not delay a handover.
func (l *Log) isClosing() bool {
	select {
	case <-l.closing:
		return true
	default:
		return false
	}
}
