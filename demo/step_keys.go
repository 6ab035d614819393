package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/refusal"
)

// stepKeys issues a key for each team.
func (r *run) stepKeys(ctx context.Context) (string, error) {
	for _, team := range r.cluster.site.Teams {
		key, err := r.issueKey(ctx, team.Name)
		if err != nil {
			return "", err
		}
		r.mu.Lock()
		r.keys[team.Name] = key
		r.mu.Unlock()
	}
	if err := r.waitForKeys(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d keys issued and known on every VM", len(r.cluster.site.Teams)), nil
}

// keyLimit bounds the time until every entry VM knows an issued key.
const keyLimit = 3 * time.Second

// waitForKeys waits until every entry VM knows every key.
func (r *run) waitForKeys(ctx context.Context) error {
	for _, vm := range r.cluster.live() {
		for _, team := range r.cluster.site.Teams {
			client, err := r.clients.get(vm, r.key(team.Name))
			if err != nil {
				return err
			}
			known := func() bool {
				_, err := client.ListWork(ctx, 1, "")
				var refused *apiclient.Refusal
				return !errors.As(err, &refused) || refused.Reason != refusal.KeyUnknown
			}
			if err := waitFor(ctx, keyLimit, "the key of "+team.Name+" on "+vm.name(), known); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) issueKey(ctx context.Context, team string) (apiclient.IssuedKey, error) {
	client, err := r.operatorClient(author)
	if err != nil {
		return apiclient.IssuedKey{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, err := client.IssueKey(ctx, team)
	return key, asNotAvailable("POST /v1/keys", err)
}
