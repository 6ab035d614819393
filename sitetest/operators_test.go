package sitetest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/refusal"
)

// The operators: a bundle takes effect after three different persons have proposed, reviewed and signed it off.
const (
	author   = "alice"
	reviewer = "bob"
	signer   = "carol"

	// operatorLimit bounds how long an operator retries one change.
	operatorLimit   = 15 * time.Second
	versionInterval = 200 * time.Millisecond
	probeInterval   = 150 * time.Millisecond
)

// unknownKey is well-formed but was never issued.
var unknownKey = "sk_" + strings.Repeat("0", 16) + "_" + strings.Repeat("0", 64)

// operatorClient returns an operator's client for one VM.
func (c *cluster) operatorClient(vm *entryVM, operator string) *apiclient.Client {
	return c.client(vm, c.operators[operator].Bearer())
}

// operate makes a change through one VM after the other until it succeeds.
func (c *cluster) operate(what string, change func(context.Context, *entryVM) error) {
	c.t.Helper()
	var last error
	began := time.Now()
	for i := 0; time.Since(began) < operatorLimit; i++ {
		live := c.live()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		last = change(ctx, live[i%len(live)])
		cancel()
		if last == nil {
			return
		}
		time.Sleep(retryInterval)
	}
	c.t.Fatalf("%s is not done after %s: %v", what, operatorLimit, last)
}

func (c *cluster) issueKey(team string) apiclient.IssuedKey {
	var key apiclient.IssuedKey
	c.operate("key of "+team, func(ctx context.Context, vm *entryVM) (err error) {
		key, err = c.operatorClient(vm, author).IssueKey(ctx, team)
		return err
	})
	return key
}

// withdraw withdraws a key and returns the time of the answer.
func (c *cluster) withdraw(key apiclient.IssuedKey) time.Time {
	c.operate("withdrawal", func(ctx context.Context, vm *entryVM) error {
		_, err := c.operatorClient(vm, author).WithdrawKey(ctx, key.ID)
		return err
	})
	return time.Now()
}

// probeKeys submits work with a withdrawn key and other invalid keys through every VM, until 1 s after the target for
// withdrawals.
func (c *cluster) probeKeys(key apiclient.IssuedKey, withdrawn time.Time) {
	var probes sync.WaitGroup
	for _, vm := range c.live() {
		probes.Go(func() {
			for time.Since(withdrawn) < keyTarget+time.Second {
				c.probe(vm, promises.Withdrawn, withdrawn, key.Key)
				c.probe(vm, promises.WrongTeam, withdrawn, c.key("rosters"))
				c.probe(vm, promises.NoKey, withdrawn, "")
				c.probe(vm, promises.UnknownID, withdrawn, unknownKey)
				time.Sleep(probeInterval)
			}
		})
	}
	probes.Wait()
}

// probe submits work with a key that must be rejected.
func (c *cluster) probe(vm *entryVM, credential promises.Credential, withdrawn time.Time, key string) {
	spec := batch(1, 1, "sleep", "100ms")
	tag := c.records.uniqueName("probe")
	spec.Name, spec.Queue, spec.Command = tag, "bookings", append(spec.GetCommand(), tag)
	made, _ := attempt(context.Background(), vm, func(ctx context.Context) (answer, error) {
		submitted, err := c.client(vm, key).Submit(ctx, spec, "")
		return answer{text: submitted.ID}, err
	})
	c.records.addWork(&promises.Work{
		Tag: tag, Team: spec.GetQueue(), Kind: spec.GetKind(), Count: 1, Attempts: []promises.Attempt{made},
	})
	c.records.update(func(r *promises.Records) {
		r.KeyChecks = append(r.KeyChecks, promises.KeyCheck{
			Credential: credential, VM: vm.name, Sent: made.Sent, WithdrawnAt: withdrawn, Outcome: made.Outcome,
		})
		if credential == promises.Withdrawn && made.Outcome == promises.Answered {
			c.records.lastAccepted = max(c.records.lastAccepted, made.Sent.Sub(withdrawn))
		}
	})
}

// signOff proposes, reviews and signs off a bundle and returns the time of the sign-off.
func (c *cluster) signOff(bundle *siskinv1.Bundle) time.Time {
	c.t.Helper()
	version := bundle.GetVersion()
	c.operate(fmt.Sprintf("bundle %d", version), func(ctx context.Context, vm *entryVM) error {
		_, err := c.signOffThrough(ctx, vm, bundle)
		return err
	})
	return c.recordSignOff(bundle)
}

func (c *cluster) recordSignOff(bundle *siskinv1.Bundle) time.Time {
	at := time.Now()
	c.mu.Lock()
	c.bundle = bundle
	c.mu.Unlock()
	c.records.update(func(r *promises.Records) {
		r.SignOffs = append(r.SignOffs, promises.SignOff{Version: bundle.GetVersion(), At: at})
	})
	return at
}

// signOffThrough proposes, reviews and signs off a bundle through one VM, and reports whether the bundle is signed off. It
// continues with an existing proposal of the version if the content is the same.
func (c *cluster) signOffThrough(ctx context.Context, vm *entryVM, bundle *siskinv1.Bundle) (bool, error) {
	proposal, err := c.operatorClient(vm, author).ProposeBundle(ctx, bundle, "")
	if err != nil {
		known, lookup := c.operatorClient(vm, author).Bundle(ctx, bundle.GetVersion())
		if lookup != nil || !proto.Equal(known.GetBundle(), bundle) {
			return false, err
		}
		proposal = known
	}
	version, sum := proposal.GetBundle().GetVersion(), proposal.GetContentSha256()
	reviewed, err := c.operatorClient(vm, reviewer).ReviewBundle(ctx, version, sum)
	switch {
	case err == nil:
		proposal = reviewed
	case proposal.GetReviewer() == "":
		return false, err
	}
	signature, err := apiclient.Sign(proposal, signer, c.operators[signer].SignOff)
	if err != nil {
		return false, err
	}
	_, err = c.operatorClient(vm, signer).SignOffBundle(ctx, version, sum, signature)
	if err != nil {
		known, lookup := c.operatorClient(vm, author).Bundle(ctx, version)
		if lookup == nil && known.GetSignedUnixMs() > 0 && proto.Equal(known.GetBundle(), bundle) {
			return true, nil
		}
	}
	return err == nil, err
}

// nextBundle returns a changed copy of the newest bundle with the next version.
func (c *cluster) nextBundle(change func(*siskinv1.Bundle)) *siskinv1.Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := proto.CloneOf(c.bundle)
	next.Version++
	change(next)
	return next
}

// watchVersion records the bundle version that a VM reports as in force.
func (c *cluster) watchVersion(ctx context.Context, vm *entryVM) {
	for ctx.Err() == nil {
		// The version in the answer was in force at this time or came into force later.
		asked := time.Now()
		// A VM that has just started reports no version, which does not count as an older one.
		if version, ok := c.versionOf(vm); ok && version > 0 {
			c.records.update(func(r *promises.Records) {
				r.VersionSamples = append(r.VersionSamples, promises.VersionSample{VM: vm.name, At: asked, Version: version})
			})
		}
		time.Sleep(versionInterval)
	}
}

// versionOf returns the bundle version that a VM reports as in force on itself.
func (c *cluster) versionOf(vm *entryVM) (int64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := c.operatorClient(vm, author).BundleStatus(ctx)
	if err != nil {
		return 0, false
	}
	for _, row := range status.VMs {
		if row.VM == vm.name {
			return int64(row.Version), true
		}
	}
	return 0, false
}

// waitInForce waits until VMs have a version or a newer one in force, and returns how long that took.
func (c *cluster) waitInForce(limit time.Duration, version int64, vms ...*entryVM) time.Duration {
	c.t.Helper()
	return c.waitFor(limit, fmt.Sprintf("version %d to be in force", version), func() bool {
		for _, vm := range vms {
			if got, ok := c.versionOf(vm); !ok || got < version {
				return false
			}
		}
		return true
	})
}

// drain takes a zone out of service. The returned function puts it back into service.
func (c *cluster) drain(zone string) (returnZone func()) {
	c.operate("drain of "+zone, func(ctx context.Context, vm *entryVM) error {
		_, err := c.operatorClient(vm, author).DrainZone(ctx, zone)
		return err
	})
	drained := promises.Drain{Zone: zone, Drained: time.Now()}
	return func() {
		// The zone may be in service again as soon as the return is sent.
		drained.ReturnedAt = time.Now()
		c.records.update(func(r *promises.Records) { r.Drains = append(r.Drains, drained) })
		c.operate("return of "+zone, func(ctx context.Context, vm *entryVM) error {
			_, err := c.operatorClient(vm, author).ReturnZone(ctx, zone)
			return err
		})
	}
}

// raceBundles signs off two different bundles of one version concurrently through different VMs and checks that not both
// succeed.
func (c *cluster) raceBundles() {
	candidates := []*siskinv1.Bundle{
		c.nextBundle(func(b *siskinv1.Bundle) { b.Comment = "first candidate" }),
		c.nextBundle(func(b *siskinv1.Bundle) { b.Comment = "second candidate" }),
	}
	version := candidates[0].GetVersion()
	var succeeded [2]bool
	var race sync.WaitGroup
	for i, candidate := range candidates {
		race.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
			defer cancel()
			won, err := c.signOffThrough(ctx, c.vms[i], candidate)
			succeeded[i] = won
			var refused *apiclient.Refusal
			if err != nil && errors.As(err, &refused) && refused.Reason != refusal.Conflict &&
				refused.Reason != refusal.StoreUnavailable && refused.Reason != refusal.AcceptanceUnknown {
				c.t.Errorf("the refused sign-off got reason %q", refused.Reason)
			}
		})
	}
	race.Wait()
	if succeeded[0] && succeeded[1] {
		known, err := c.operatorClient(c.vms[0], author).Bundle(c.t.Context(), version)
		assert.NilError(c.t, err)
		c.t.Errorf("both bundles of version %d were signed off; the store has %q", version, known.GetBundle().GetComment())
	}
	for i, candidate := range candidates {
		if succeeded[i] {
			c.recordSignOff(candidate)
			return
		}
	}
	// With failures during the race, no operator may have seen a success; sign off whichever bundle was proposed.
	c.operate("bundle after the race", func(ctx context.Context, vm *entryVM) error {
		_, err := c.signOffThrough(ctx, vm, candidates[0])
		if err == nil {
			c.recordSignOff(candidates[0])
			return nil
		}
		if _, err = c.signOffThrough(ctx, vm, candidates[1]); err == nil {
			c.recordSignOff(candidates[1])
		}
		return err
	})
}

// raceChanges has operators concurrently withdraw one key and drain or return one zone through all VMs.
func (c *cluster) raceChanges() {
	key := c.issueKey("bookings")
	zone := c.site.Zones[2]
	var race sync.WaitGroup
	for i, vm := range c.vms {
		race.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_, _ = c.operatorClient(vm, author).WithdrawKey(ctx, key.ID)
			if i%2 == 0 {
				_, _ = c.operatorClient(vm, author).DrainZone(ctx, zone)
			} else {
				_, _ = c.operatorClient(vm, reviewer).ReturnZone(ctx, zone)
			}
		})
	}
	race.Wait()
	c.operate("return of "+zone, func(ctx context.Context, vm *entryVM) error {
		_, err := c.operatorClient(vm, author).ReturnZone(ctx, zone)
		return err
	})
	c.probeKeys(key, c.withdraw(key))
}

// setComment returns a change of a bundle's comment only.
func setComment(text string) func(*siskinv1.Bundle) {
	return func(b *siskinv1.Bundle) { b.Comment = text }
}
