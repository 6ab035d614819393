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
	// claimAttempts bounds the calls for one claim. They carry the same request ID, so a call after a lost answer gets the
	// same claim.
	claimAttempts = 3
	// claimTimeout bounds one call of Claim or FinishClaim, and retryInterval is the delay before the next one.
	claimTimeout  = 2 * time.Second
	retryInterval = 50 * time.Millisecond
	// finishWait bounds how long the caller's answer waits until the end of the claim is recorded.
	finishWait = time.Second
	// finishTimeout bounds the attempts that continue in the background. If all of them fail, the claim ends as unknown at
	// its maximum age.
	finishTimeout = 30 * time.Second
	// maxFinishing bounds the finish records that are sent concurrently.
	maxFinishing = 1000
)

// Shards calls the owners of the shards, on this VM or another one. A refusal.Error comes from the owner; after any other
// error it is unknown whether the call took effect.
type Shards interface {
	Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error)
	FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Shards Shards
	// Names lists the shards of all zones.
	Names func() []string
	// EntryVM identifies this process: the VM and its incarnation.
	EntryVM string
	Clock   clock.Clock
}

// Client claims requests for one entry VM.
type Client struct {
	options ClientOptions
	// finishSlots is a semaphore that bounds the background attempts.
	finishSlots chan struct{}
	tasks       sync.WaitGroup
}

// NewClient returns a client with the given options.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, finishSlots: make(chan struct{}, maxFinishing)}
}

// Wait waits until the background attempts of all Finish calls are over.
func (c *Client) Wait() { c.tasks.Wait() }

// HomeShard returns the shard that decides on a key. All entry VMs compute the same one from the same list of shards.
func HomeShard(shards []string, team, service, requestKey string) string {
	return rendezvous.Pick(rendezvous.Key(team, service, requestKey), shards)
}

// BodyHash returns the hash by which a repeated submission is recognised.
func BodyHash(contentType string, body []byte) []byte {
	hash := sha256.New()
	hash.Write([]byte(contentType))
	hash.Write([]byte{0})
	hash.Write(body)
	return hash.Sum(nil)
}

// Submission is one submission of an at-most-once request.
type Submission struct {
	Team       string
	Service    string
	RequestKey string
	// RequestID is random and unique to this submission.
	RequestID string
	BodyHash  []byte
}

// Handle represents a granted claim. Its holder forwards the request at most once and then calls Finish.
type Handle struct {
	client     *Client
	shard      string
	submission Submission
}

// Begin claims the request. It returns the claim, or the end of an earlier submission, or a refusal. A refusal that says
// "not run" is correct, because nothing is forwarded without a claim.
func (c *Client) Begin(ctx context.Context, submission Submission) (*Handle, *siskinv1.RequestFinished, error) {
	shard := HomeShard(c.options.Names(), submission.Team, submission.Service, submission.RequestKey)
	if shard == "" {
		return nil, nil, refusal.New(refusal.ShardUnavailable, "no shard is configured")
	}
	handle := &Handle{client: c, shard: shard, submission: submission}
	response, err := c.claim(ctx, handle)
	if err == nil && response.GetGranted() {
		return handle, nil, nil
	}
	if err == nil && response.GetRefused() != nil {
		err = refusal.FromProto(response.GetRefused())
	}
	if err == nil {
		return nil, response.GetEarlier(), nil
	}
	refused := refusal.From(err)
	own := response.GetEarlier().GetRequestId() == submission.RequestID
	if !own && provesNoClaim(refused.Reason) {
		return nil, nil, refused
	}
	// The claim may be recorded although this submission was not granted it.
	handle.Finish(ctx, Outcome{Kind: NotRun})
	if own || !refused.NotRun() {
		refused = refusal.New(refusal.ShardUnavailable, "the claim was not granted in time: %s", refused.Message)
	}
	return nil, nil, refused
}

// provesNoClaim reports whether the reason proves that this submission holds no claim.
func provesNoClaim(reason refusal.Reason) bool {
	switch reason {
	case refusal.InProgress, refusal.OutcomeUnknown, refusal.RequestKeyReused, refusal.Overloaded:
		return true
	}
	return false
}

// claim calls the owner until it answers with anything but a temporary refusal, at most claimAttempts times.
func (c *Client) claim(ctx context.Context, handle *Handle) (*siskinv1.ClaimResponse, error) {
	request := &siskinv1.ClaimRequest{Shard: handle.shard, Claim: &siskinv1.RequestClaimed{
		Team: handle.submission.Team, Service: handle.submission.Service, RequestKey: handle.submission.RequestKey,
		RequestId: handle.submission.RequestID, EntryVm: c.options.EntryVM, BodySha256: handle.submission.BodyHash,
		ClaimedUnixMs: c.options.Clock.Now().UnixMilli(),
	}}
	var response *siskinv1.ClaimResponse
	var err error
	for attempt := range claimAttempts {
		if attempt > 0 && c.options.Clock.Sleep(ctx, retryInterval) != nil {
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
	return nil, refusal.New(refusal.ShardUnavailable, "claim at shard %q: %v", handle.shard, err)
}

func (c *Client) claimOnce(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return c.options.Shards.Claim(ctx, request)
}

// temporary reports whether the refusal ends once the shard has an owner again or its write is done.
func temporary(refused *refusal.Error) bool {
	return refused != nil && (refused.Reason == refusal.ShardUnavailable || refused.Reason == refusal.StoreUnavailable)
}
