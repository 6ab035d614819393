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

// The operators: three different persons take a bundle into force.
const (
	author   = "alice"
	reviewer = "bob"
	signer   = "carol"

	// operatorLimit bounds the attempts of an operator for one change.
	operatorLimit    = 15 * time.Second
	sightingInterval = 200 * time.Millisecond
	probeInterval    = 150 * time.Millisecond
)

// unknownKey is well-formed and was never issued.
var unknownKey = "sk_" + strings.Repeat("0", 16) + "_" + strings.Repeat("0", 64)

// through returns an operator's client that calls one VM.
func (c *cell) through(vm *entryVM, operator string) *apiclient.Client {
	return c.client(vm, c.operators[operator].Bearer())
}

// operate makes a change through one VM after the other until it is done.
func (c *cell) operate(what string, change func(context.Context, *entryVM) error) {
	c.t.Helper()
	var last error
	began := time.Now()
	for i := 0; time.Since(began) < operatorLimit; i++ {
		live := c.live()
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		last = change(ctx, live[i%len(live)])
		cancel()
		if last == nil {
			return
		}
		time.Sleep(retryPause)
	}
	c.t.Fatalf("%s is not done after %s: %v", what, operatorLimit, last)
}

func (c *cell) issueKey(team string) apiclient.IssuedKey {
	var key apiclient.IssuedKey
	c.operate("key of "+team, func(ctx context.Context, vm *entryVM) (err error) {
		key, err = c.through(vm, author).IssueKey(ctx, team)
		return err
	})
	return key
}

// withdraw takes a key back and returns the moment of the answer.
func (c *cell) withdraw(key apiclient.IssuedKey) time.Time {
	c.operate("withdrawal", func(ctx context.Context, vm *entryVM) error {
		_, err := c.through(vm, author).WithdrawKey(ctx, key.ID)
		return err
	})
	return time.Now()
}

// probeKeys calls with a withdrawn key and other bad keys through every VM, until past the target for withdrawals.
func (c *cell) probeKeys(key apiclient.IssuedKey, withdrawn time.Time) {
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

// probe hands work in with a key that must not be accepted.
func (c *cell) probe(vm *entryVM, credential promises.Credential, withdrawn time.Time, key string) {
	spec := batch(1, 1, "sleep", "100ms")
	tag := c.records.next("probe")
	spec.Name, spec.Queue, spec.Command = tag, "bookings", append(spec.GetCommand(), tag)
	made, _ := attempt(context.Background(), vm, func(ctx context.Context) (answer, error) {
		submitted, err := c.client(vm, key).Submit(ctx, spec, "")
		return answer{text: submitted.ID}, err
	})
	c.records.submission(&promises.Work{
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

// signOff takes a bundle from proposal to sign-off and returns the moment of the sign-off.
func (c *cell) signOff(bundle *siskinv1.Bundle) time.Time {
	c.t.Helper()
	version := bundle.GetVersion()
	c.operate(fmt.Sprintf("bundle %d", version), func(ctx context.Context, vm *entryVM) error {
		_, err := c.signOffThrough(ctx, vm, bundle)
		return err
	})
	return c.signedOff(bundle)
}

func (c *cell) signedOff(bundle *siskinv1.Bundle) time.Time {
	at := time.Now()
	c.mu.Lock()
	c.bundle = bundle
	c.mu.Unlock()
	c.records.update(func(r *promises.Records) {
		r.SignOffs = append(r.SignOffs, promises.SignOff{Version: bundle.GetVersion(), At: at})
	})
	return at
}

// signOffThrough takes a bundle into force through one VM. A version that is proposed already is taken further if it
// has the same content.
func (c *cell) signOffThrough(ctx context.Context, vm *entryVM, bundle *siskinv1.Bundle) (bool, error) {
	proposal, err := c.through(vm, author).ProposeBundle(ctx, bundle, "")
	if err != nil {
		known, lookup := c.through(vm, author).Bundle(ctx, bundle.GetVersion())
		if lookup != nil || !proto.Equal(known.GetBundle(), bundle) {
			return false, err
		}
		proposal = known
	}
	version, sum := proposal.GetBundle().GetVersion(), proposal.GetContentSha256()
	reviewed, err := c.through(vm, reviewer).ReviewBundle(ctx, version, sum)
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
	_, err = c.through(vm, signer).SignOffBundle(ctx, version, sum, signature)
	if err != nil {
		known, lookup := c.through(vm, author).Bundle(ctx, version)
		if lookup == nil && known.GetSignedUnixMs() > 0 && proto.Equal(known.GetBundle(), bundle) {
			return true, nil
		}
	}
	return err == nil, err
}

// changed returns a copy of the newest bundle with the next version.
func (c *cell) changed(change func(*siskinv1.Bundle)) *siskinv1.Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := proto.CloneOf(c.bundle)
	next.Version++
	change(next)
	return next
}

// watchVersion records the version that a VM says it has in force.
func (c *cell) watchVersion(ctx context.Context, vm *entryVM) {
	for ctx.Err() == nil {
		// The version that is answered was in force at this moment or came into force later.
		asked := time.Now()
		// A VM that has just started has no version in force, which is not an older one.
		if version, ok := c.versionOf(vm); ok && version > 0 {
			c.records.update(func(r *promises.Records) {
				r.VersionSamples = append(r.VersionSamples, promises.VersionSample{VM: vm.name, At: asked, Version: version})
			})
		}
		time.Sleep(sightingInterval)
	}
}

// versionOf returns the version that a VM says it has in force itself.
func (c *cell) versionOf(vm *entryVM) (int64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	status, err := c.through(vm, author).BundleStatus(ctx)
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

// waitInForce waits until VMs have a version in force.
func (c *cell) waitInForce(limit time.Duration, version int64, vms ...*entryVM) time.Duration {
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

// drain takes a zone out of service. The returned function puts it back.
func (c *cell) drain(zone string) (back func()) {
	c.operate("drain of "+zone, func(ctx context.Context, vm *entryVM) error {
		_, err := c.through(vm, author).DrainZone(ctx, zone)
		return err
	})
	drained := promises.Drain{Zone: zone, Drained: time.Now()}
	return func() {
		// The zone may be in service again from the moment at which the return is sent.
		drained.ReturnedAt = time.Now()
		c.records.update(func(r *promises.Records) { r.Drains = append(r.Drains, drained) })
		c.operate("return of "+zone, func(ctx context.Context, vm *entryVM) error {
			_, err := c.through(vm, author).ReturnZone(ctx, zone)
			return err
		})
	}
}

// raceBundles lets two operators sign different bundles of one version off through different VMs.
func (c *cell) raceBundles() {
	rivals := []*siskinv1.Bundle{
		c.changed(func(b *siskinv1.Bundle) { b.Comment = "first rival" }),
		c.changed(func(b *siskinv1.Bundle) { b.Comment = "second rival" }),
	}
	version := rivals[0].GetVersion()
	var wins [2]bool
	var race sync.WaitGroup
	for i, rival := range rivals {
		race.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*callLimit)
			defer cancel()
			won, err := c.signOffThrough(ctx, c.vms[i], rival)
			wins[i] = won
			var refused *apiclient.Refusal
			if err != nil && errors.As(err, &refused) && refused.Reason != refusal.Conflict &&
				refused.Reason != refusal.StoreUnavailable && refused.Reason != refusal.AcceptanceUnknown {
				c.t.Errorf("loser of the race got %q", refused.Reason)
			}
		})
	}
	race.Wait()
	if wins[0] && wins[1] {
		known, err := c.through(c.vms[0], author).Bundle(c.t.Context(), version)
		assert.NilError(c.t, err)
		c.t.Errorf("both rivals of version %d were signed off; the store has %q", version, known.GetBundle().GetComment())
	}
	for i, rival := range rivals {
		if wins[i] {
			c.signedOff(rival)
			return
		}
	}
	// With failures in the race nobody may have been told that they won; the operators go on with what is proposed.
	c.operate("bundle after the race", func(ctx context.Context, vm *entryVM) error {
		_, err := c.signOffThrough(ctx, vm, rivals[0])
		if err == nil {
			c.signedOff(rivals[0])
			return nil
		}
		if _, err = c.signOffThrough(ctx, vm, rivals[1]); err == nil {
			c.signedOff(rivals[1])
		}
		return err
	})
}

// raceChanges lets operators withdraw one key and change one zone at once through all VMs.
func (c *cell) raceChanges() {
	key := c.issueKey("bookings")
	zone := c.site.Zones[2]
	var race sync.WaitGroup
	for i, vm := range c.vms {
		race.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callLimit)
			defer cancel()
			_, _ = c.through(vm, author).WithdrawKey(ctx, key.ID)
			if i%2 == 0 {
				_, _ = c.through(vm, author).DrainZone(ctx, zone)
			} else {
				_, _ = c.through(vm, reviewer).ReturnZone(ctx, zone)
			}
		})
	}
	race.Wait()
	c.operate("return of "+zone, func(ctx context.Context, vm *entryVM) error {
		_, err := c.through(vm, author).ReturnZone(ctx, zone)
		return err
	})
	c.probeKeys(key, c.withdraw(key))
}

// comment returns a change of a bundle that alters nothing else.
func comment(text string) func(*siskinv1.Bundle) {
	return func(b *siskinv1.Bundle) { b.Comment = text }
}
