package claim

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/rendezvous"
)

const (
	// claimTries bounds the calls for one claim. They carry the same hand-in, so a lost answer is found again.
	claimTries   = 3
	claimTimeout = 2 * time.Second
	retryPause   = 50 * time.Millisecond
	// finishWait bounds how long the caller's answer waits for the end of the claim to be recorded.
	finishWait = time.Second
	// finishTotal bounds the further tries behind the caller's back. Then the claim's age ends it as unknown.
	finishTotal = 30 * time.Second
	// maxFinishing bounds the ends that are retried at once.
	maxFinishing = 1000
)

// Shards is the owners of the shards, on this VM or another one. A refusal.Error comes from the owner; any other error
// leaves open whether the call took effect.
type Shards interface {
	Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error)
	FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error)
}

// ClientOptions is what a Client needs.
type ClientOptions struct {
	Shards Shards
	// Names lists the shards of all zones.
	Names func() []string
	// EntryVM names this process: the VM and its incarnation.
	EntryVM string
	Clock   clock.Clock
}

// Client claims requests for one entry VM.
type Client struct {
	options ClientOptions
	// finishing bounds the background tries.
	finishing chan struct{}
	tasks     sync.WaitGroup
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, finishing: make(chan struct{}, maxFinishing)}
}

// Wait returns when no end of a claim is being recorded any more.
func (c *Client) Wait() { c.tasks.Wait() }

// Home returns the shard that decides on a key. All entry VMs compute the same one from the same shards.
func Home(shards []string, team, service, requestKey string) string {
	return rendezvous.Pick(rendezvous.Key(team, service, requestKey), shards)
}

// BodyHash returns the hash by which a repeated hand-in is recognised.
func BodyHash(contentType string, body []byte) []byte {
	hash := sha256.New()
	hash.Write([]byte(contentType))
	hash.Write([]byte{0})
	hash.Write(body)
	return hash.Sum(nil)
}

// Submission is one hand-in of an at-most-once request.
type Submission struct {
	Team       string
	Service    string
	RequestKey string
	// RequestID is random and made for this hand-in only.
	RequestID string
	BodyHash  []byte
}

// Handle is a claim that was granted. Its holder forwards the request at most once and then calls Finish.
type Handle struct {
	client *Client
	shard  string
	handIn Submission
}

// Begin claims the request. It returns the claim, or the end of an earlier hand-in, or a refusal. A refusal that says
// "not run" is true: nothing is forwarded without a claim.
func (c *Client) Begin(ctx context.Context, handIn Submission) (*Handle, *siskinv1.RequestFinished, error) {
	shard := Home(c.options.Names(), handIn.Team, handIn.Service, handIn.RequestKey)
	if shard == "" {
		return nil, nil, refusal.New(refusal.ShardUnavailable, "no shard is configured")
	}
	held := &Handle{client: c, shard: shard, handIn: handIn}
	response, err := c.claim(ctx, held)
	if err == nil && response.GetGranted() {
		return held, nil, nil
	}
	if err == nil && response.GetRefused() != nil {
		err = refusal.FromProto(response.GetRefused())
	}
	if err == nil {
		return nil, response.GetEarlier(), nil
	}
	refused := refusal.From(err)
	own := response.GetEarlier().GetRequestId() == handIn.RequestID
	if !own && heldByAnother(refused.Reason) {
		return nil, nil, refused
	}
	// The claim may be recorded although this hand-in does not get it.
	held.Finish(ctx, Outcome{Kind: NotRun})
	if own || !refused.NotRun() {
		refused = refusal.New(refusal.ShardUnavailable, "the claim was not granted in time: %s", refused.Message)
	}
	return nil, nil, refused
}

// heldByAnother reports whether the reason proves that this hand-in holds no claim.
func heldByAnother(reason refusal.Reason) bool {
	switch reason {
	case refusal.InProgress, refusal.OutcomeUnknown, refusal.RequestKeyReused, refusal.Overloaded:
		return true
	}
	return false
}

// claim calls the owner until it has answered, at most claimTries times.
func (c *Client) claim(ctx context.Context, held *Handle) (*siskinv1.ClaimResponse, error) {
	request := &siskinv1.ClaimRequest{Shard: held.shard, Claim: &siskinv1.RequestClaimed{
		Team: held.handIn.Team, Service: held.handIn.Service, RequestKey: held.handIn.RequestKey,
		RequestId: held.handIn.RequestID, EntryVm: c.options.EntryVM, BodySha256: held.handIn.BodyHash,
		ClaimedUnixMs: c.options.Clock.Now().UnixMilli(),
	}}
	var response *siskinv1.ClaimResponse
	var err error
	for try := range claimTries {
		if try > 0 && c.options.Clock.Sleep(ctx, retryPause) != nil {
			break
		}
		response, err = c.claimOnce(ctx, request)
		if err == nil && !temporary(refusal.FromProto(response.GetRefused())) {
			return response, nil
		}
		var refused *refusal.Error
		if errors.As(err, &refused) && !temporary(refused) {
			return response, refused
		}
	}
	if err == nil {
		return response, nil
	}
	return nil, refusal.New(refusal.ShardUnavailable, "claim at shard %q: %v", held.shard, err)
}

func (c *Client) claimOnce(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return c.options.Shards.Claim(ctx, request)
}

// temporary refusals end when the shard has an owner again or its write is done.
func temporary(refused *refusal.Error) bool {
	return refused != nil && (refused.Reason == refusal.ShardUnavailable || refused.Reason == refusal.StoreUnavailable)
}
