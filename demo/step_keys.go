package demo

import (
	"context"
	"fmt"

	"siskinstack.example/siskinstack/apiclient"
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
	return fmt.Sprintf("%d keys issued", len(r.cluster.site.Teams)), nil
}

func (r *run) issueKey(ctx context.Context, team string) (apiclient.IssuedKey, error) {
	client, err := r.operator(author)
	if err != nil {
		return apiclient.IssuedKey{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, err := client.IssueKey(ctx, team)
	return key, available("POST /v1/keys", err)
}
