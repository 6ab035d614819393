// Package shardlog keeps the durable records of one shard in the store. Records are written in group commits: one
// store value holds many records. Only one writer can append at a sequence, because the key of an entry must not exist
// before; a new owner appends a fence first, so that every later append of the previous owner fails.
package shardlog

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/platform"
)

// Format is the version of the record encoding that this program writes.
const Format = 1

const (
	// commitInterval is the shortest time between two group commits of a shard.
	commitInterval = 20 * time.Millisecond
	// maxPending bounds the appends that wait for a commit.
	maxPending = 65536
	// maxEntryBytes keeps an entry well below the store's largest value.
	maxEntryBytes = 512 << 10
	// writeTimeout bounds one store call.
	writeTimeout = 2 * time.Second
	checksumSize = 4
)

// Errors of the log.
var (
	// ErrFenced means that another owner has taken the log over. Nothing of the append is durable.
	ErrFenced = eris.New("another owner has taken over the log")
	// ErrClosed means that the log takes no more appends. Nothing of the append is durable.
	ErrClosed = eris.New("log is closed")
	// ErrCorrupt means that a value of the log cannot be read. It is left as it is.
	ErrCorrupt = eris.New("log value is corrupt or of a newer format")
	// ErrFull means that too many appends wait. Nothing of the append is durable.
	ErrFull = eris.New("too many appends wait for the store")
)

// Options configures a log.
type Options struct {
	Store platform.Store
	Clock clock.Clock
	Shard string
	// Writer is the identity of this owner: VM, incarnation and nonce.
	Writer string
	Owner  string
	Epoch  int64
	// Apply receives every durable record in order, first during Open, then after each commit.
	Apply func(*siskinv1.Record)
}

// Log appends records of one shard.
type Log struct {
	options Options

	mu       sync.Mutex // guards pending, err and sequence
	pending  []pendingAppend
	err      error
	sequence int64

	wake chan struct{}
	done chan struct{}
	stop context.CancelFunc
}

type pendingAppend struct {
	records []*siskinv1.Record
	done    chan error
}

// Open takes the log over: it replays what is there, appends a fence, and starts the writer.
func Open(ctx context.Context, options Options) (*Log, error) {
	l := &Log{options: options, wake: make(chan struct{}, 1), done: make(chan struct{})}
	if err := l.replay(ctx); err != nil {
		return nil, err
	}
	fence := &siskinv1.Record{Change: &siskinv1.Record_Fence{
		Fence: &siskinv1.Fence{Owner: options.Owner, Epoch: options.Epoch},
	}}
	if err := l.write(ctx, []*siskinv1.Record{fence}); err != nil {
		return nil, eris.Wrap(err, "append fence")
	}
	run, stop := context.WithCancel(context.Background())
	l.stop = stop
	go l.run(run)
	return l, nil
}

// Prefix returns the prefix of a shard's log keys.
func Prefix(shard string) string { return "log/" + shard + "/" }

func entryKey(shard string, sequence int64) string {
	return fmt.Sprintf("%s%016d", Prefix(shard), sequence)
}

func (l *Log) replay(ctx context.Context) error {
	listing, err := l.options.Store.List(ctx, Prefix(l.options.Shard))
	if err != nil {
		return eris.Wrap(err, "list log")
	}
	for _, kv := range listing.Entries {
		entry, err := decodeEntry(kv.Value)
		if err != nil {
			return eris.Wrapf(err, "key %s", kv.Key)
		}
		for _, record := range entry.GetRecords() {
			l.options.Apply(record)
		}
		l.sequence = entry.GetSequence()
	}
	return nil
}

// Append makes records durable together and returns when they are. An error other than ErrFenced, ErrClosed and
// ErrFull means that the outcome is not known.
func (l *Log) Append(ctx context.Context, records ...*siskinv1.Record) error {
	done := make(chan error, 1)
	if err := l.enqueue(pendingAppend{records: records, done: done}); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "outcome of the append is not known")
	}
}

func (l *Log) enqueue(p pendingAppend) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if len(l.pending) >= maxPending {
		return ErrFull
	}
	l.pending = append(l.pending, p)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close commits what is pending and ends the writer.
func (l *Log) Close() {
	l.mu.Lock()
	if l.err == nil {
		l.err = ErrClosed
	}
	l.mu.Unlock()
	l.stop()
	<-l.done
}

func (l *Log) run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			l.commitAll(context.Background())
			return
		}
		if !l.commitAll(ctx) {
			return
		}
		_ = l.options.Clock.Sleep(ctx, commitInterval)
	}
}

// commitAll writes the pending appends and reports whether the log can go on.
func (l *Log) commitAll(ctx context.Context) bool {
	for {
		batch := l.takeBatch()
		if len(batch) == 0 {
			return true
		}
		var records []*siskinv1.Record
		for _, p := range batch {
			records = append(records, p.records...)
		}
		err := l.write(ctx, records)
		if err == nil {
			for _, record := range records {
				l.options.Apply(record)
			}
		}
		for _, p := range batch {
			p.done <- err
		}
		if err != nil {
			l.fail(err)
			return false
		}
	}
}

func (l *Log) takeBatch() []pendingAppend {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	n := 0
	for n < len(l.pending) {
		for _, record := range l.pending[n].records {
			size += proto.Size(record)
		}
		if n > 0 && size > maxEntryBytes {
			break
		}
		n++
	}
	batch := l.pending[:n:n]
	l.pending = l.pending[n:]
	return batch
}

// fail ends the log; appends that still wait were never written.
func (l *Log) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
	for _, p := range l.pending {
		p.done <- ErrClosed
	}
	l.pending = nil
}

// write appends one entry. An unknown outcome is resolved by reading the key back.
func (l *Log) write(ctx context.Context, records []*siskinv1.Record) error {
	entry := &siskinv1.LogEntry{
		Format: Format, Shard: l.options.Shard, Sequence: l.sequence + 1,
		Writer: l.options.Writer, Epoch: l.options.Epoch, Records: records,
	}
	value, err := encodeEntry(entry)
	if err != nil {
		return err
	}
	key := entryKey(l.options.Shard, entry.GetSequence())
	for {
		err := l.put(ctx, key, value)
		if err == nil {
			l.sequence++
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return l.resolveConflict(ctx, key, entry)
		}
		if ctx.Err() != nil {
			return eris.Wrap(err, "append")
		}
		_ = l.options.Clock.Sleep(ctx, commitInterval)
	}
}

func (l *Log) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := l.options.Store.Put(ctx, platform.PutRequest{Key: key, Value: value})
	return err
}

// resolveConflict tells an entry of this writer, whose answer was lost, from one of another owner.
func (l *Log) resolveConflict(ctx context.Context, key string, entry *siskinv1.LogEntry) error {
	kv, err := l.options.Store.Get(ctx, key)
	if err != nil {
		return eris.Wrap(err, "read entry back")
	}
	found, err := decodeEntry(kv.Value)
	if err != nil {
		return err
	}
	if found.GetWriter() == entry.GetWriter() && found.GetEpoch() == entry.GetEpoch() {
		l.sequence++
		return nil
	}
	return ErrFenced
}

func encodeEntry(entry *siskinv1.LogEntry) ([]byte, error) {
	body, err := proto.Marshal(entry)
	if err != nil {
		return nil, eris.Wrap(err, "encode entry")
	}
	return binary.BigEndian.AppendUint32(body, crc32.ChecksumIEEE(body)), nil
}

func decodeEntry(value []byte) (*siskinv1.LogEntry, error) {
	if len(value) < checksumSize {
		return nil, ErrCorrupt
	}
	body := value[:len(value)-checksumSize]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(value[len(body):]) {
		return nil, eris.Wrap(ErrCorrupt, "checksum")
	}
	entry := &siskinv1.LogEntry{}
	if err := proto.Unmarshal(body, entry); err != nil {
		return nil, eris.Wrap(ErrCorrupt, err.Error())
	}
	if entry.GetFormat() > Format {
		return nil, eris.Wrapf(ErrCorrupt, "format %d", entry.GetFormat())
	}
	return entry, nil
}
