package claim

import (
	"context"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// writeTimeout bounds the wait for one write. The record may still become durable and be applied afterwards.
const writeTimeout = 30 * time.Second

// Log makes the records of a shard durable and applies them to the table in log order.
type Log interface {
	// Append returns nil once the record is durable and applied. After an error, mayBeWritten is false only if the
	// record certainly is not durable and never will be.
	Append(ctx context.Context, record *siskinv1.Record) (mayBeWritten bool, err error)
}

// Service decides on the claims of one shard: it writes each change to the log before it answers.
type Service struct {
	table *Table
	log   Log

	mu sync.Mutex // guards writes
	// writes holds, by key, a channel that is closed when the write of its claim is over. A reserved key without a channel
	// has a write of unknown outcome; calls that wait for it wait until their context ends.
	writes map[key]chan struct{}
}

// NewService returns a service for a table that reflects the log.
func NewService(table *Table, log Log) *Service {
	return &Service{table: table, log: log, writes: map[key]chan struct{}{}}
}

// Claim decides on one claim. A repeated call waits for the write of the first one.
func (s *Service) Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	for {
		decision, written := s.check(request.GetClaim())
		switch decision.Verdict {
		case Grant:
			return s.grant(ctx, decision)
		case Pending:
		default:
			return decision.Response(), nil
		}
		select {
		case <-written:
		case <-ctx.Done():
			return decision.Response(), nil
		}
	}
}

// check decides, and creates or looks up the channel of the write under the same lock, so that a wait cannot miss the end
// of the write.
func (s *Service) check(claim *siskinv1.RequestClaimed) (Decision, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.table.Check(claim)
	if decision.Verdict == Grant {
		s.writes[keyOf(claim)] = make(chan struct{})
	}
	return decision, s.writes[keyOf(claim)]
}

// grant writes the record and answers. If the outcome of the write is unknown, the key stays reserved until the log
// applies the record or the next owner reads the log; until then the claim is granted to no submission.
func (s *Service) grant(ctx context.Context, decision Decision) (*siskinv1.ClaimResponse, error) {
	claimed := decision.Record.GetRequestClaimed()
	// The write continues if the entry VM stops waiting; its repeated call gets the result.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	mayBeWritten, err := s.log.Append(ctx, decision.Record)
	if err != nil && !mayBeWritten {
		s.table.Abandon(claimed)
	}
	s.endWrite(keyOf(claimed))
	if err != nil {
		return nil, refusal.New(refusal.StoreUnavailable, "the claim could not be recorded: %v", err)
	}
	return decision.Response(), nil
}

func (s *Service) endWrite(k key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.writes[k])
	delete(s.writes, k)
}

// FinishClaim records the end of a claimed request. Repeating it has no further effect.
func (s *Service) FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error) {
	record := s.table.CheckFinish(request.GetFinished())
	if record == nil {
		return &siskinv1.FinishClaimResponse{}, nil
	}
	if err := s.append(ctx, record); err != nil {
		return nil, refusal.New(refusal.StoreUnavailable, "the end of the claim could not be recorded: %v", err)
	}
	return &siskinv1.FinishClaimResponse{}, nil
}

// Sweep ends the claims that Table.Sweep returns. The next sweep retries what cannot be written.
func (s *Service) Sweep(ctx context.Context, now time.Time, alive func(entryVM string) bool) error {
	for _, record := range s.table.Sweep(now, alive) {
		if err := s.append(ctx, record); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) append(ctx context.Context, record *siskinv1.Record) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, record)
	return err
}
