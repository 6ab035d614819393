package shardlog

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/storeclient"
)

// storedKey is an entry or chunk of this shard in the store.
type storedKey struct {
	key      string
	revision infra.Revision
	sequence int64
}

// errNotSent means that the entry was never sent to the store.
var errNotSent = eris.New("entry was not sent")

// commitAll writes all pending appends and reports whether the log is still usable.
func (l *Log) commitAll(ctx context.Context) bool {
	for l.hasPending() {
		if !l.commitNext(ctx) {
			return false
		}
	}
	return true
}

// commitNext writes the pending appends that fit into one entry and reports whether the log is still usable.
func (l *Log) commitNext(ctx context.Context) bool {
	batch := l.takeBatch()
	if len(batch) == 0 {
		return true
	}
	err := l.commit(ctx, batch)
	if errors.Is(err, errNotSent) && ctx.Err() == nil {
		l.putBack(batch)
		return l.sleep(ctx, l.backoff.Next()) == nil
	}
	if errors.Is(err, errNotSent) {
		err = ErrClosed
	}
	for _, p := range batch {
		p.done <- err
	}
	if err != nil {
		l.fail(err)
		return false
	}
	l.backoff.Reset()
	return true
}

// commit writes one batch as one entry and applies its records.
func (l *Log) commit(ctx context.Context, batch []*pendingAppend) error {
	var records []*siskinv1.Record
	for _, p := range batch {
		records = append(records, p.records...)
	}
	started := l.options.Clock.Now()
	if err := l.write(ctx, records); err != nil {
		return err
	}
	for _, record := range records {
		l.options.Apply(record)
	}
	l.options.Metrics.committed(len(records), l.options.Clock.Now().Sub(started))
	return nil
}

// attempt is the state of writing one entry.
type attempt struct {
	entry *siskinv1.LogEntry
	key   string
	value []byte
	// sent is true once a write may have taken effect.
	sent bool
	// checkedAt is the time of the last successful check of the right.
	checkedAt time.Time
}

func (l *Log) newAttempt(records []*siskinv1.Record) (*attempt, error) {
	entry := &siskinv1.LogEntry{
		Format: Format, Shard: l.options.Shard, Sequence: l.sequence + 1, Nonce: l.nonces.generate(),
		Writer: l.options.Writer, Epoch: l.options.Epoch, Records: records,
	}
	value, err := encode(kindEntry, entry)
	if err != nil {
		return nil, err
	}
	return &attempt{entry: entry, key: entryKey(l.options.Shard, entry.GetSequence()), value: value}, nil
}

// write appends one entry. It resolves an unknown outcome by sending the same value again and, if the key already
// exists, by reading it back. After an error other than errNotSent the log must not be used any more, because the entry
// may still appear at its sequence. Only fence continues after ErrFenced: it applies the entry found there and appends at
// the next sequence.
func (l *Log) write(ctx context.Context, records []*siskinv1.Record) error {
	a, err := l.newAttempt(records)
	if err != nil {
		return err
	}
	backoff := storeclient.NewBackoff(retryMin, retryMax, l.options.Random)
	for {
		finished, err := l.tryWrite(ctx, a)
		if finished || err != nil {
			return err
		}
		if !a.sent {
			return errNotSent
		}
		l.options.Metrics.unknown.Inc()
		if l.sleep(ctx, backoff.Next()) != nil {
			return l.resolve(a, ErrUnknown)
		}
	}
}

// tryWrite sends the entry once and reports whether its outcome is known.
func (l *Log) tryWrite(ctx context.Context, a *attempt) (bool, error) {
	now := l.options.Clock.Now()
	if err := l.options.Check(); err != nil {
		return true, l.resolve(a, eris.Wrap(ErrFenced, err.Error()))
	}
	a.checkedAt = now
	revision, err := l.put(ctx, a.key, a.value)
	switch {
	case err == nil:
		return true, l.accept(a, revision)
	case errors.Is(err, infra.ErrConflict):
		return l.readBack(ctx, a)
	case errors.Is(err, infra.ErrTooLarge):
		return true, eris.Wrap(ErrTooLarge, a.key)
	case !errors.Is(err, infra.ErrNotSent):
		a.sent = true
	}
	return false, nil
}

// accept treats the entry as durable, unless the response came so late that a successor may have written an entry at
// this sequence, covered it by a snapshot and deleted it in the meantime.
func (l *Log) accept(a *attempt, revision infra.Revision) error {
	if l.options.Clock.Now().Sub(a.checkedAt) >= l.rules.responseLimit {
		return eris.Wrapf(ErrUnknown, "response for %s came %v or more after the check", a.key, l.rules.responseLimit)
	}
	l.sequence = a.entry.GetSequence()
	l.trackEntry(storedKey{key: a.key, revision: revision, sequence: l.sequence}, len(a.value))
	return nil
}

// readBack reads the existing key to tell an entry of this writer, whose response was lost, from one of another owner.
func (l *Log) readBack(ctx context.Context, a *attempt) (bool, error) {
	kv, err := l.get(ctx, a.key)
	if errors.Is(err, infra.ErrNotFound) {
		return true, eris.Wrapf(ErrUnknown, "%s was deleted", a.key)
	}
	if err != nil {
		a.sent = true // the key exists, but its writer is not known yet
		return false, nil
	}
	found := &siskinv1.LogEntry{}
	if err := decode(kindEntry, a.key, kv.Value, found); err != nil {
		return true, eris.Wrap(ErrUnknown, err.Error())
	}
	if !l.rules.sameEntry(found, a.entry) {
		l.options.Metrics.fenced.Inc()
		return true, ErrFenced
	}
	l.options.Metrics.resolved.Inc()
	return true, l.accept(a, kv.Revision)
}

func sameEntry(a, b *siskinv1.LogEntry) bool {
	return a.GetWriter() == b.GetWriter() && a.GetEpoch() == b.GetEpoch() && a.GetNonce() == b.GetNonce()
}

// resolve reads the key of an entry that will not be sent again, to determine its outcome if possible.
func (l *Log) resolve(a *attempt, reason error) error {
	if !a.sent {
		return reason
	}
	ctx, cancel := clock.WithTimeout(context.WithoutCancel(l.baseCtx), l.options.Clock, writeTimeout)
	defer cancel()
	if _, err := l.get(ctx, a.key); err == nil {
		if finished, err := l.readBack(ctx, a); finished {
			return err
		}
	}
	return eris.Wrap(ErrUnknown, reason.Error())
}

func (l *Log) put(ctx context.Context, key string, value []byte) (infra.Revision, error) {
	ctx, cancel := clock.WithTimeout(ctx, l.options.Clock, writeTimeout)
	defer cancel()
	return l.options.Store.Put(ctx, infra.PutRequest{Key: key, Value: value})
}

func (l *Log) get(ctx context.Context, key string) (infra.KeyValue, error) {
	ctx, cancel := clock.WithTimeout(ctx, l.options.Clock, writeTimeout)
	defer cancel()
	return l.options.Store.Get(ctx, key)
}

func (l *Log) sleep(ctx context.Context, d time.Duration) error {
	return l.options.Clock.Sleep(ctx, d)
}
