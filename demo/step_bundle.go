package demo

import (
	"context"
	"fmt"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
)

// The operators: author, reviewer and signer of a bundle must be different.
const (
	author   = "alice"
	reviewer = "bob"
	signer   = "carol"
)

const (
	// inForceLimit is the time within which a bundle has to be in force on every VM.
	inForceLimit = 9 * time.Second
	// sampleInterval is the time between two samples of the version in force on a VM.
	sampleInterval = 250 * time.Millisecond
)

// stepBundle signs off the first bundle and starts to sample the versions in force.
func (r *run) stepBundle(ctx context.Context) (string, error) {
	began := time.Now()
	if err := r.signOff(ctx, r.cluster.site.Bundle(1)); err != nil {
		return "", err
	}
	for _, vm := range r.cluster.live() {
		r.load = append(r.load, startBackground(ctx, func(ctx context.Context) { r.sampleVersion(ctx, vm) }))
	}
	if err := r.waitInForce(ctx, 1); err != nil {
		return "", err
	}
	return fmt.Sprintf("version 1 in force everywhere after %s", since(began)), nil
}

// secondBundle signs off a second bundle under load, so that a VM that reverts to the first one is detected.
func (r *run) secondBundle(ctx context.Context) (string, error) {
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

// signOff proposes, reviews and signs off a bundle.
func (r *run) signOff(ctx context.Context, bundle *siskinv1.Bundle) error {
	clients := map[string]*apiclient.Client{}
	for _, name := range []string{author, reviewer, signer} {
		client, err := r.operatorClient(name)
		if err != nil {
			return err
		}
		clients[name] = client
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	proposal, err := clients[author].ProposeBundle(ctx, bundle, "")
	if err != nil {
		return asNotAvailable("POST /v1/bundles", err)
	}
	version := proposal.GetBundle().GetVersion()
	proposal, err = clients[reviewer].ReviewBundle(ctx, version, proposal.GetContentSha256())
	if err != nil {
		return asNotAvailable("POST /v1/bundles/{version}/review", err)
	}
	signature, err := apiclient.Sign(proposal, signer, r.operators[signer].SignOff)
	if err != nil {
		return err
	}
	if _, err := clients[signer].SignOffBundle(ctx, version, proposal.GetContentSha256(), signature); err != nil {
		return asNotAvailable("POST /v1/bundles/{version}/sign-off", err)
	}
	r.recorder.update(func(records *promises.Records) {
		records.SignOffs = append(records.SignOffs, promises.SignOff{Version: version, At: time.Now()})
	})
	return nil
}

// sampleVersion records the version that a VM reports as in force, every sampleInterval until ctx ends.
func (r *run) sampleVersion(ctx context.Context, vm *entryVM) {
	for pause(ctx, sampleInterval) {
		// The reported version was in force at this time or came into force later.
		sent := time.Now()
		version, ok := r.versionOf(ctx, vm)
		if !ok {
			continue
		}
		r.recorder.update(func(records *promises.Records) {
			records.VersionSamples = append(records.VersionSamples, promises.VersionSample{VM: vm.name(), At: sent, Version: version})
		})
	}
}

// versionOf returns the version that a VM reports as in force on itself.
func (r *run) versionOf(ctx context.Context, vm *entryVM) (int64, bool) {
	client, err := r.clients.get(vm, r.operators[author].Bearer())
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
