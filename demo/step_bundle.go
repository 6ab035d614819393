package demo

import (
	"context"
	"fmt"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
)

// The operators: three different persons take a bundle into force.
const (
	author   = "alice"
	reviewer = "bob"
	signer   = "carol"
)

const (
	// inForceLimit is the time within which a bundle has to be in force everywhere.
	inForceLimit = 9 * time.Second
	// sightingInterval is the time between two looks at the version in force on a VM.
	sightingInterval = 250 * time.Millisecond
)

// stepBundle signs the first bundle off and watches the versions in force from then on.
func (r *run) stepBundle(ctx context.Context) (string, error) {
	began := time.Now()
	if err := r.signOff(ctx, r.cluster.site.Bundle(1)); err != nil {
		return "", err
	}
	for _, vm := range r.cluster.live() {
		r.load = append(r.load, startBackground(ctx, func(ctx context.Context) { r.watchVersion(ctx, vm) }))
	}
	if err := r.waitInForce(ctx, 1); err != nil {
		return "", err
	}
	return fmt.Sprintf("version 1 in force everywhere after %s", since(began)), nil
}

// nextBundle signs a second bundle off while everything else goes on, so that a VM could go back to the first one.
func (r *run) nextBundle(ctx context.Context) (string, error) {
	began := time.Now()
	bundle := r.cluster.site.Bundle(2)
	bundle.Comment = "second bundle of " + r.cluster.site.Name
	if err := r.signOff(ctx, bundle); err != nil {
		return "", err
	}
	if err := r.waitInForce(ctx, 2); err != nil {
		return "", err
	}
	return fmt.Sprintf("version 2 in force everywhere after %s", since(began)), nil
}

// signOff takes a bundle from proposal to sign-off.
func (r *run) signOff(ctx context.Context, bundle *siskinv1.Bundle) error {
	by := map[string]*apiclient.Client{}
	for _, name := range []string{author, reviewer, signer} {
		client, err := r.operator(name)
		if err != nil {
			return err
		}
		by[name] = client
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	proposal, err := by[author].ProposeBundle(ctx, bundle, "")
	if err != nil {
		return available("POST /v1/bundles", err)
	}
	version := proposal.GetBundle().GetVersion()
	proposal, err = by[reviewer].ReviewBundle(ctx, version, proposal.GetContentSha256())
	if err != nil {
		return available("POST /v1/bundles/{version}/review", err)
	}
	signature, err := apiclient.Sign(proposal, signer, r.operators[signer].SignOff)
	if err != nil {
		return err
	}
	if _, err := by[signer].SignOffBundle(ctx, version, proposal.GetContentSha256(), signature); err != nil {
		return available("POST /v1/bundles/{version}/sign-off", err)
	}
	r.recorder.update(func(records *promises.Records) {
		records.SignOffs = append(records.SignOffs, promises.SignOff{Version: version, At: time.Now()})
	})
	return nil
}

// watchVersion records the version that a VM says it has in force.
func (r *run) watchVersion(ctx context.Context, vm *entryVM) {
	for pause(ctx, sightingInterval) {
		// The version that is answered was in force at this moment or came into force later.
		asked := time.Now()
		version, ok := r.versionOf(ctx, vm)
		if !ok {
			continue
		}
		r.recorder.update(func(records *promises.Records) {
			records.VersionSamples = append(records.VersionSamples, promises.VersionSample{VM: vm.name(), At: asked, Version: version})
		})
	}
}

// versionOf returns the version that a VM says it has in force itself.
func (r *run) versionOf(ctx context.Context, vm *entryVM) (int64, bool) {
	client, err := r.clients.of(vm, r.operators[author].Bearer())
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := client.BundleStatus(ctx)
	if err != nil {
		return 0, false
	}
	for _, row := range status.VMs {
		if row.VM == vm.name() {
			return int64(row.Version), true
		}
	}
	return 0, false
}

// waitInForce waits until every live VM has a version in force.
func (r *run) waitInForce(ctx context.Context, version int64) error {
	return waitFor(ctx, inForceLimit, fmt.Sprintf("version %d to be in force everywhere", version), func() bool {
		for _, vm := range r.cluster.live() {
			if got, ok := r.versionOf(ctx, vm); !ok || got < version {
				return false
			}
		}
		return true
	})
}
