package shardlog

import (
	"context"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// recordOverhead bounds the bytes of a record's tag and length inside an entry.
const recordOverhead = 8

// pendingAppend is one Append that waits for its commit.
type pendingAppend struct {
	records []*siskinv1.Record
	size    int
	done    chan error // holds one result
}

func sizeOf(records []*siskinv1.Record) int {
	size := 0
	for _, record := range records {
		size += proto.Size(record) + recordOverhead
	}
	return size
}

func (l *Log) enqueue(records []*siskinv1.Record) (*pendingAppend, error) {
	p := &pendingAppend{records: records, size: sizeOf(records), done: make(chan error, 1)}
	if p.size > maxEntryBytes {
		return nil, ErrTooLarge
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appendErr != nil {
		return nil, l.appendErr
	}
	full := l.pendingCount+len(records) > l.options.MaxPendingRecords ||
		l.pendingBytes+p.size > l.options.MaxPendingBytes
	if full {
		l.options.Metrics.refused.Inc()
		return nil, ErrFull
	}
	l.pending = append(l.pending, p)
	l.account(p, 1)
	l.signal()
	return p, nil
}

func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// account adds an append to the pending totals (sign 1) or removes it (sign -1). The caller holds mu.
func (l *Log) account(p *pendingAppend, sign int) {
	l.pendingCount += sign * len(p.records)
	l.pendingBytes += sign * p.size
}

// withdraw removes an append from the queue if it has not been sent. ctx is the caller's ended context.
func (l *Log) withdraw(ctx context.Context, p *pendingAppend) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.pending, p); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
		l.account(p, -1)
		return eris.Wrap(ErrWithdrawn, ctx.Err().Error())
	}
	select {
	case err := <-p.done:
		return err
	default:
		return eris.Wrap(ErrUnknown, ctx.Err().Error())
	}
}

// takeBatch removes the appends of the next entry from the queue.
func (l *Log) takeBatch() []*pendingAppend {
	l.mu.Lock()
	defer l.mu.Unlock()
	size, n := 0, 0
	for n < len(l.pending) && size+l.pending[n].size <= maxEntryBytes {
		size += l.pending[n].size
		n++
	}
	batch := slices.Clone(l.pending[:n])
	l.pending = slices.Delete(l.pending, 0, n)
	for _, p := range batch {
		l.account(p, -1)
	}
	if len(l.pending) > 0 {
		l.signal()
	}
	return batch
}

func (l *Log) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

// putBack returns a batch that was not sent to the front of the queue, so that its appends can be withdrawn.
func (l *Log) putBack(batch []*pendingAppend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(batch, l.pending...)
	for _, p := range batch {
		l.account(p, 1)
	}
	l.signal()
}

// refuse makes later appends fail with err.
func (l *Log) refuse(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appendErr == nil {
		l.appendErr = err
	}
}

// fail ends the log with err. Appends still in the queue were never sent, so their error always proves that they are
// not durable.
func (l *Log) fail(err error) {
	l.refuse(ErrClosed)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cause == nil {
		l.cause = err
	}
	pendingErr := err
	if !IsNotDurable(err) {
		pendingErr = ErrClosed
	}
	for _, p := range l.pending {
		p.done <- pendingErr
	}
	l.pending = nil
	l.pendingBytes, l.pendingCount = 0, 0
}

// nonceSource generates values that no other writer and no earlier entry of this writer has used.
type nonceSource struct {
	prefix string
	next   int64
}

func newNonceSource(writer string, random func() float64) nonceSource {
	const spread = 1 << 52
	return nonceSource{prefix: fmt.Sprintf("%s-%013x", writer, int64(random()*spread))}
}

func (n *nonceSource) generate() string {
	n.next++
	return fmt.Sprintf("%s-%d", n.prefix, n.next)
}
