// Package shardlog keeps the durable records of one shard in the store. Records are written in group commits: one
// store value holds many records. Only one writer can append at a sequence, because an entry is written only if its
// key does not exist; a new owner appends a fence first, so that every later append of the previous owner fails.
//
// Guarantees:
//   - Append returns nil only after the commit that holds its records has succeeded. The records of one Append are in
//     one entry, and Apply has seen them before Append returns.
//   - Apply sees every durable record exactly once and in the order of the log: during Open first the records of the
//     newest snapshot, then those of the entries after it, later those of each commit. It is never called concurrently.
//   - An error that IsNotDurable reports means that the records are not and will not become durable. After any other
//     error the outcome is not known to this writer; the next owner's replay decides.
//   - A value that is corrupt or of a newer format is neither overwritten nor deleted; Open fails and names its key.
//
// Deleted keys: an entry may be deleted only by an owner whose fence is older than keyRetention, and a writer accepts a
// response only within responseLimit after a check of its right. Without this rule a paused writer could recreate a key
// that its successor wrote and deleted, and report its append as durable.
package shardlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/storeclient"
)

const (
	// defaultCommitInterval is the shortest time between the starts of two group commits of a shard.
	defaultCommitInterval = 20 * time.Millisecond
	// defaultPendingRecords and defaultPendingBytes bound the records that wait for a commit.
	defaultPendingRecords = 65536
	defaultPendingBytes   = 32 << 20
	// maxEntryBytes keeps an entry well below the store's largest value.
	maxEntryBytes = 512 << 10
	// writeTimeout bounds one store call of the log.
	writeTimeout = 2 * time.Second
	// closeTimeout bounds the commit of pending appends when the log is closed.
	closeTimeout = 2 * time.Second
	// keyRetention is the minimum age of the owner's fence before the owner deletes entries of the log.
	keyRetention = 30 * time.Second
	// responseLimit is shorter than keyRetention by more than the drift of two clocks.
	responseLimit = 20 * time.Second
	retryMin      = 20 * time.Millisecond
	retryMax      = time.Second
)

// Errors of the log.
var (
	// ErrFenced means that another owner has taken the log over, or may have. No record of the append is durable.
	ErrFenced = eris.New("another owner has taken over the log")
	// ErrClosed means that the log accepts no more appends. No record of the append is durable.
	ErrClosed = eris.New("log is closed")
	// ErrCorrupt means that a value of the log cannot be decoded. It is neither overwritten nor deleted.
	ErrCorrupt = eris.New("log value is corrupt or of a newer format")
	// ErrFull means that too many records or bytes are pending. No record of the append is durable.
	ErrFull = eris.New("too many records wait for the store")
	// ErrTooLarge means that the records of one append do not fit into one entry. No record of the append is durable.
	ErrTooLarge = eris.New("records of one append are larger than an entry")
	// ErrWithdrawn means that the caller's context ended before the records were sent. No record of the append is
	// durable.
	ErrWithdrawn = eris.New("append was withdrawn before it was sent")
	// ErrUnknown means that the writer could not determine whether the records are durable.
	ErrUnknown = eris.New("outcome of the append is not known")
)

var notDurable = []error{ErrFenced, ErrClosed, ErrFull, ErrTooLarge, ErrWithdrawn}

// IsNotDurable reports whether err proves that the records of an append are not and will not become durable.
func IsNotDurable(err error) bool {
	for _, target := range notDurable {
		if errors.Is(err, target) {
			return !errors.Is(err, ErrUnknown)
		}
	}
	return false
}

// Options configures a log.
type Options struct {
	Store infra.Store
	// SnapshotStore is the store for snapshots and deletions; nil uses Store.
	SnapshotStore infra.Store
	Clock         clock.Clock
	Shard         string
	// Writer identifies this owner by VM and incarnation.
	Writer string
	Owner  string
	Epoch  int64
	// Apply receives every durable record in order, first during Open, then after each commit. It must not block and
	// must not call the log.
	Apply func(*siskinv1.Record)
	// Check returns an error if the owner's right has ended. It is called before each write; nil means no check.
	Check func() error
	// Snapshot returns records from which Apply rebuilds the state that results from all records applied so far. It is
	// called between two commits; nil means no snapshots.
	Snapshot func() []*siskinv1.Record
	// SnapshotEntries and SnapshotBytes trigger a snapshot when the entries since the last one reach either.
	SnapshotEntries int
	SnapshotBytes   int
	// CommitInterval is the shortest time between the starts of two commits; 0 selects 20 ms. Each commit costs one
	// write, and later one deletion.
	CommitInterval time.Duration
	// MaxPendingRecords and MaxPendingBytes bound the records that wait for a commit.
	MaxPendingRecords int
	MaxPendingBytes   int
	// Random returns numbers in [0, 1) for jitter and nonces.
	Random  func() float64
	Metrics *Metrics
}

func (o Options) withDefaults() Options {
	if o.SnapshotStore == nil {
		o.SnapshotStore = o.Store
	}
	if o.Check == nil {
		o.Check = func() error { return nil }
	}
	if o.SnapshotEntries <= 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.SnapshotBytes <= 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.CommitInterval <= 0 {
		o.CommitInterval = defaultCommitInterval
	}
	if o.MaxPendingRecords <= 0 {
		o.MaxPendingRecords = defaultPendingRecords
	}
	if o.MaxPendingBytes <= 0 {
		o.MaxPendingBytes = defaultPendingBytes
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return o
}

// rules are the safety rules of a writer. Tests break them one at a time to prove that the checker detects it.
type rules struct {
	responseLimit time.Duration
	keyRetention  time.Duration
	sameEntry     func(found, own *siskinv1.LogEntry) bool
}

// Log appends records of one shard.
type Log struct {
	options Options
	nonces  nonceSource
	rules   rules

	mu           sync.Mutex // guards pending, pendingBytes, pendingCount, appendErr and cause
	pending      []*pendingAppend
	pendingBytes int
	pendingCount int
	appendErr    error // returned by later appends
	cause        error // why the writer ended

	// Only the writer accesses the fields below: Open until it returns, then the goroutine in run.
	backoff       *storeclient.Backoff
	sequence      int64
	fencedAt      time.Time
	stored        []storedKey // entries in the store, in order
	head          headState
	sinceSnapshot logGrowth
	snapshot      chan snapshotResult // not nil while a snapshot is being written

	wake    chan struct{} // holds a token when appends may be pending
	done    chan struct{}
	baseCtx context.Context // canceled to end the waits of the writer
	stop    context.CancelFunc

	closing chan struct{}
	once    sync.Once
}

// Open takes the log over: it replays the stored records, appends a fence, and starts the writer.
func Open(ctx context.Context, options Options) (*Log, error) {
	l, err := load(ctx, options)
	if err != nil {
		return nil, err
	}
	go l.run()
	return l, nil
}

// load takes the log over without starting the writer.
func load(ctx context.Context, options Options) (*Log, error) {
	l := &Log{
		options: options.withDefaults(),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		closing: make(chan struct{}),
	}
	l.rules = rules{responseLimit: responseLimit, keyRetention: keyRetention, sameEntry: sameEntry}
	l.backoff = storeclient.NewBackoff(retryMin, retryMax, l.options.Random)
	l.nonces = newNonceSource(l.options.Writer, l.options.Random)
	l.baseCtx, l.stop = context.WithCancel(context.Background())
	if err := l.takeOver(ctx); err != nil {
		l.stop()
		if errors.Is(err, ErrCorrupt) {
			l.options.Metrics.corrupt.Inc()
		}
		return nil, err
	}
	return l, nil
}

// Append commits records in one entry and returns when they are durable. See IsNotDurable for the meaning of errors.
func (l *Log) Append(ctx context.Context, records ...*siskinv1.Record) error {
	p, err := l.enqueue(records)
	if err != nil {
		return err
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return l.withdraw(ctx, p)
	}
}

// Close commits pending appends within closeTimeout and ends the writer.
func (l *Log) Close() {
	l.once.Do(func() {
		l.refuse(ErrClosed)
		close(l.closing)
	})
	ctx, cancel := clock.WithTimeout(l.baseCtx, l.options.Clock, closeTimeout)
	defer cancel()
	select {
	case <-l.done:
	case <-ctx.Done():
		l.stop()
		<-l.done
	}
}

// Done returns a channel that is closed when the writer has ended, because the log was closed or has failed.
func (l *Log) Done() <-chan struct{} { return l.done }

// Err returns, after Done, why the log accepts no more appends: ErrClosed after Close, ErrFenced if another owner has
// taken over or the right has ended, or ErrUnknown if the outcome of the last commit could not be determined. After
// ErrUnknown the shard must be opened again, by this VM under a new epoch or by another VM.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// run commits as appends arrive, until the log is closed or fails.
func (l *Log) run() {
	defer close(l.done)
	defer l.stop()
	for l.waitForAppend() {
		started := l.options.Clock.Now()
		if !l.commitNext(l.baseCtx) {
			break
		}
		l.collectSnapshot()
		l.startSnapshot()
		l.pause(l.untilNext(started))
	}
	l.finish()
	l.awaitSnapshot()
}

// waitForAppend waits for an append and reports false when the log is being closed.
func (l *Log) waitForAppend() bool {
	select {
	case <-l.wake:
		return true
	case <-l.closing:
		return false
	}
}

// untilNext returns how long to wait after a commit, so that commits start at least an interval apart.
func (l *Log) untilNext(started time.Time) time.Duration {
	return max(0, l.options.CommitInterval-l.options.Clock.Now().Sub(started))
}

// pause waits for a time, or until the log is being closed.
func (l *Log) pause(wait time.Duration) {
	ctx, cancel := context.WithCancel(l.baseCtx)
	defer cancel()
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-l.closing:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = l.options.Clock.Sleep(ctx, wait)
	cancel()
	<-watcherDone
}

// finish commits pending appends and ends the log.
func (l *Log) finish() {
	l.commitAll(l.baseCtx)
	l.fail(ErrClosed)
}
