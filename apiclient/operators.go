package apiclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// fetch makes a call and decodes its response.
func fetch[T any](ctx context.Context, c *Client, request call) (T, error) {
	resp, err := c.do(ctx, request)
	if err != nil {
		var zero T
		return zero, err
	}
	return decode[T](resp)
}

// Teams returns all teams.
func (c *Client) Teams(ctx context.Context) ([]Team, error) {
	list, err := fetch[struct {
		Teams []Team `json:"teams"`
	}](ctx, c, get("/v1/teams"))
	return list.Teams, err
}

// IssueKey issues a key for a team.
func (c *Client) IssueKey(ctx context.Context, team string) (IssuedKey, error) {
	body, err := json.Marshal(map[string]string{"team": team})
	if err != nil {
		return IssuedKey{}, err
	}
	return fetch[IssuedKey](ctx, c, post("/v1/keys", body, false))
}

// Keys returns all keys without their secrets.
func (c *Client) Keys(ctx context.Context) ([]Key, error) {
	list, err := fetch[struct {
		Keys []Key `json:"keys"`
	}](ctx, c, get("/v1/keys"))
	return list.Keys, err
}

// WithdrawKey withdraws a key. Repeating it has no further effect.
func (c *Client) WithdrawKey(ctx context.Context, id string) (Key, error) {
	return fetch[Key](ctx, c, post("/v1/keys/"+url.PathEscape(id)+"/withdraw", nil, true))
}

// ProposeBundle proposes the next bundle; the caller becomes its author. replaces is the hash of the content of an
// unsigned proposal of the same version that it replaces, or empty.
func (c *Client) ProposeBundle(
	ctx context.Context, bundle *siskinv1.Bundle, replaces string,
) (*siskinv1.BundleProposal, error) {
	body, err := encodeMessage(bundle)
	if err != nil {
		return nil, err
	}
	path := "/v1/bundles"
	if replaces != "" {
		path += "?replaces=" + url.QueryEscape(replaces)
	}
	return c.proposal(ctx, post(path, body, false))
}

// Bundle returns the proposal of a version.
func (c *Client) Bundle(ctx context.Context, version int64) (*siskinv1.BundleProposal, error) {
	return c.proposal(ctx, get(fmt.Sprintf("/v1/bundles/%d", version)))
}

// DiffBundle compares a proposal with the bundle in force.
func (c *Client) DiffBundle(ctx context.Context, version int64) ([]Change, error) {
	diff, err := fetch[struct {
		Changes []Change `json:"changes"`
	}](ctx, c, get(fmt.Sprintf("/v1/bundles/%d/diff", version)))
	return diff.Changes, err
}

// ReviewBundle approves the content with the given hash; the caller becomes reviewer.
func (c *Client) ReviewBundle(ctx context.Context, version int64, contentSHA256 string) (*siskinv1.BundleProposal, error) {
	body, err := json.Marshal(map[string]string{"content_sha256": contentSHA256})
	if err != nil {
		return nil, err
	}
	return c.proposal(ctx, post(fmt.Sprintf("/v1/bundles/%d/review", version), body, false))
}

// SignOffBundle puts the content with the given hash in force; the caller becomes signer.
func (c *Client) SignOffBundle(
	ctx context.Context, version int64, contentSHA256 string, signature []byte,
) (*siskinv1.BundleProposal, error) {
	body, err := json.Marshal(struct {
		ContentSHA256 string `json:"content_sha256"`
		Signature     []byte `json:"signature"`
	}{contentSHA256, signature})
	if err != nil {
		return nil, err
	}
	return c.proposal(ctx, post(fmt.Sprintf("/v1/bundles/%d/sign-off", version), body, false))
}

func (c *Client) proposal(ctx context.Context, request call) (*siskinv1.BundleProposal, error) {
	resp, err := c.do(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	proposal := &siskinv1.BundleProposal{}
	return proposal, decodeMessage(resp.body, proposal)
}

// BundleStatus returns the bundle in force on each VM.
func (c *Client) BundleStatus(ctx context.Context) (BundleStatus, error) {
	return fetch[BundleStatus](ctx, c, get("/v1/bundles/status"))
}

// DrainZone takes a zone out of service. Repeating it has no further effect.
func (c *Client) DrainZone(ctx context.Context, zone string) (ZoneStatus, error) {
	return fetch[ZoneStatus](ctx, c, post("/v1/zones/"+url.PathEscape(zone)+"/drain", nil, true))
}

// ReturnZone puts a zone back in service. Repeating it has no further effect.
func (c *Client) ReturnZone(ctx context.Context, zone string) (ZoneStatus, error) {
	return fetch[ZoneStatus](ctx, c, post("/v1/zones/"+url.PathEscape(zone)+"/return", nil, true))
}

// Zone returns the state of a zone.
func (c *Client) Zone(ctx context.Context, zone string) (ZoneReport, error) {
	return fetch[ZoneReport](ctx, c, get("/v1/zones/"+url.PathEscape(zone)))
}

// VMs returns all VMs of the fleet.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	list, err := fetch[struct {
		VMs []VM `json:"vms"`
	}](ctx, c, get("/v1/vms"))
	return list.VMs, err
}
