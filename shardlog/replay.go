package shardlog

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/storeclient"
)

const (
	// maxReadRounds bounds how often the log is read again because a key was missing.
	maxReadRounds = 3
	// maxFenceRounds bounds the attempts to append the fence, each of which may find a late entry of a previous owner.
	maxFenceRounds = 64
)

// ReplayCalls is the number of store calls that Open makes when nothing fails: one each for the entries, the manifest,
// the chunks, and the fence.
const ReplayCalls = 4

// logContent holds the entries, manifest and chunks of a shard as read from the store.
type logContent struct {
	head    headState
	chunks  []*siskinv1.SnapshotChunk
	entries []*siskinv1.LogEntry // those after the snapshot
	stored  []storedKey          // all entries
	bytes   int
}

// missingError is a CorruptError that may result from reading while the previous owner was deleting covered keys.
type missingError struct{ CorruptError }

func (l *Log) takeOver(ctx context.Context) error {
	found, err := l.readAll(ctx)
	if err != nil {
		return err
	}
	for _, chunk := range found.chunks {
		l.applyAll(chunk.GetRecords())
	}
	l.sequence = found.head.sequence
	for _, entry := range found.entries {
		l.applyAll(entry.GetRecords())
		l.sequence = entry.GetSequence()
	}
	l.head, l.stored = found.head, found.stored
	l.sinceSnapshot = logGrowth{entries: len(found.entries), bytes: found.bytes}
	return l.fence(ctx)
}

func (l *Log) applyAll(records []*siskinv1.Record) {
	for _, record := range records {
		l.options.Apply(record)
	}
}

// readAll reads the log, and reads it again if a key is missing: a key may disappear between two calls while the
// previous owner is still deleting covered keys.
func (l *Log) readAll(ctx context.Context) (*logContent, error) {
	for round := 1; ; round++ {
		found, err := l.readOnce(ctx)
		var missing *missingError
		if errors.As(err, &missing) && round < maxReadRounds {
			continue
		}
		return found, err
	}
}

// readOnce reads the entries before the manifest. An entry that was deleted before the first call is then covered by
// the manifest that the second call finds.
func (l *Log) readOnce(ctx context.Context) (*logContent, error) {
	log, err := l.options.Store.List(ctx, Prefix(l.options.Shard))
	if err != nil {
		return nil, eris.Wrap(err, "list log")
	}
	found := &logContent{}
	if err := l.readHead(ctx, &found.head); err != nil {
		return nil, err
	}
	snapshots, err := l.options.Store.List(ctx, SnapshotPrefix(l.options.Shard))
	if err != nil {
		return nil, eris.Wrap(err, "list snapshots")
	}
	if err := l.readChunks(snapshots.Entries, found); err != nil {
		return nil, err
	}
	return found, l.readEntries(log.Entries, found)
}

func (l *Log) readHead(ctx context.Context, head *headState) error {
	key := HeadKey(l.options.Shard)
	kv, err := l.get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read manifest")
	}
	message := &siskinv1.SnapshotHead{}
	if err := decode(kindHead, key, kv.Value, message); err != nil {
		return err
	}
	if message.GetShard() != l.options.Shard {
		return corrupt(key, "value is the manifest of shard %q", message.GetShard())
	}
	if message.GetEpoch() > l.options.Epoch {
		return eris.Wrapf(ErrFenced, "manifest has epoch %d", message.GetEpoch())
	}
	head.revision = kv.Revision
	head.sequence = message.GetSequence()
	head.nonce = message.GetNonce()
	head.count = int(message.GetChunks())
	return nil
}

// readChunks decodes all chunks. It keeps those that the manifest names and marks chunks of other snapshots as
// obsolete.
func (l *Log) readChunks(entries []infra.KeyValue, found *logContent) error {
	prefix := chunkPrefix(l.options.Shard, found.head.sequence, found.head.nonce)
	for _, kv := range entries {
		chunk := &siskinv1.SnapshotChunk{}
		err := decode(kindChunk, kv.Key, kv.Value, chunk)
		current := found.head.count > 0 && strings.HasPrefix(kv.Key, prefix)
		if err != nil {
			return err
		}
		key := storedKey{key: kv.Key, revision: kv.Revision, sequence: chunk.GetSequence()}
		if !current {
			found.head.obsolete = append(found.head.obsolete, key)
			continue
		}
		if kv.Key != chunkKey(prefix, int(chunk.GetChunk())) || chunk.GetSequence() != found.head.sequence {
			return corrupt(kv.Key, "value is chunk %d at sequence %d", chunk.GetChunk(), chunk.GetSequence())
		}
		found.chunks = append(found.chunks, chunk)
		found.head.chunks = append(found.head.chunks, key)
	}
	if len(found.chunks) != found.head.count {
		reason := "chunk of the current snapshot is missing"
		return &missingError{CorruptError{Key: chunkKey(prefix, len(found.chunks)), Reason: reason}}
	}
	return nil
}

func (l *Log) readEntries(entries []infra.KeyValue, found *logContent) error {
	last := found.head.sequence
	for _, kv := range entries {
		entry, err := l.decodeEntry(kv)
		if err != nil {
			return err
		}
		sequence := entry.GetSequence()
		found.stored = append(found.stored, storedKey{key: kv.Key, revision: kv.Revision, sequence: sequence})
		if sequence <= found.head.sequence {
			continue
		}
		if sequence != last+1 {
			return &missingError{CorruptError{Key: entryKey(l.options.Shard, last+1), Reason: "entry is missing"}}
		}
		last = sequence
		found.entries = append(found.entries, entry)
		found.bytes += len(kv.Value)
	}
	return nil
}

func (l *Log) decodeEntry(kv infra.KeyValue) (*siskinv1.LogEntry, error) {
	entry := &siskinv1.LogEntry{}
	if err := decode(kindEntry, kv.Key, kv.Value, entry); err != nil {
		return nil, err
	}
	keySequence, err := strconv.ParseInt(strings.TrimPrefix(kv.Key, Prefix(l.options.Shard)), 10, 64)
	if err != nil || keySequence != entry.GetSequence() || entry.GetShard() != l.options.Shard {
		return nil, corrupt(kv.Key, "value is entry %d of shard %q", entry.GetSequence(), entry.GetShard())
	}
	if entry.GetEpoch() > l.options.Epoch {
		return nil, eris.Wrapf(ErrFenced, "entry %d has epoch %d", entry.GetSequence(), entry.GetEpoch())
	}
	return entry, nil
}

// fence appends the fence. Entries that a previous owner's late writes placed at the next sequence are applied first.
func (l *Log) fence(ctx context.Context) error {
	record := &siskinv1.Record{Change: &siskinv1.Record_Fence{
		Fence: &siskinv1.Fence{Owner: l.options.Owner, Epoch: l.options.Epoch},
	}}
	backoff := storeclient.NewBackoff(retryMin, retryMax, l.options.Random)
	for range maxFenceRounds {
		err := l.write(ctx, []*siskinv1.Record{record})
		switch {
		case err == nil:
			l.fencedAt = l.options.Clock.Now()
			l.options.Apply(record)
			return nil
		case errors.Is(err, errNotSent):
			if err := l.sleep(ctx, backoff.Next()); err != nil {
				return eris.Wrap(err, "append fence")
			}
		case errors.Is(err, ErrFenced) && l.options.Check() == nil:
			if err := l.applyLateEntry(ctx); err != nil {
				return err
			}
		default:
			return eris.Wrap(err, "append fence")
		}
	}
	return eris.Wrap(ErrFenced, "previous owner keeps writing")
}

// applyLateEntry applies the entry that a previous owner wrote at the next sequence after the log was read.
func (l *Log) applyLateEntry(ctx context.Context) error {
	kv, err := l.get(ctx, entryKey(l.options.Shard, l.sequence+1))
	if err != nil {
		return eris.Wrap(err, "read late entry")
	}
	entry, err := l.decodeEntry(kv)
	if err != nil {
		return err
	}
	l.applyAll(entry.GetRecords())
	l.sequence++
	l.trackEntry(storedKey{key: kv.Key, revision: kv.Revision, sequence: l.sequence}, len(kv.Value))
	return nil
}
