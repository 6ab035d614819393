package apiclient_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configview"
	"siskinstack.example/siskinstack/operate"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/site"
)

// fakeFleet implements the parts of the system that package operate queries.
type fakeFleet struct{}

func (fakeFleet) Teams(context.Context) (map[string]operate.TeamUsage, error) {
	return map[string]operate.TeamUsage{"archive": {Running: resource.Vector{MilliCPU: 7}}}, nil
}

func (fakeFleet) Zone(context.Context, string) (operate.ZoneUsage, error) {
	return operate.ZoneUsage{Running: 3, Queued: 4}, nil
}

func (fakeFleet) VMs(context.Context) ([]operate.VMState, error) {
	return []operate.VMState{{Name: "entry-0", Role: "entry", State: "live"}}, nil
}

func (fakeFleet) BundleStates(context.Context) ([]operate.VMBundle, error) {
	return []operate.VMBundle{{VM: "entry-0", Version: 1, Reachable: true}}, nil
}

// operatorClients starts a server with the real routes for operators and returns a client and key for each of three
// operators.
func operatorClients(t *testing.T) (map[string]*apiclient.Client, map[string]apiclient.OperatorKey) {
	t.Helper()
	keys, clients := map[string]apiclient.OperatorKey{}, map[string]*apiclient.Client{}
	var registered []*siskinv1.Operator
	for _, name := range []string{"alice", "bob", "carol"} {
		key, err := apiclient.NewOperatorKey(name)
		assert.NilError(t, err)
		keys[name] = key
		registered = append(registered, key.Settings())
	}
	store := standin.NewStore(clock.Real{})
	view := configview.New(configview.Options{
		Store: store, Clock: clock.Real{}, Logger: logr.Discard(), Signers: bundle.NewSigners(registered),
	})
	server := httptest.NewServer(operate.New(operate.Options{
		Store: view.WrapStore(store), Clock: clock.Real{}, Logger: logr.Discard(), View: view, Operators: registered,
		Usage: fakeFleet{}, VMs: fakeFleet{}, BundleStates: fakeFleet{},
	}).Handler())
	t.Cleanup(server.Close)
	for name, key := range keys {
		client, err := apiclient.New(apiclient.Options{Servers: []string{server.URL}, Key: key.Bearer()})
		assert.NilError(t, err)
		t.Cleanup(client.Close)
		clients[name] = client
	}
	return clients, keys
}

// TestOperatorRoutes guards against a client that does not match the operators' routes.
func TestOperatorRoutes(t *testing.T) {
	ctx := context.Background()
	clients, keys := operatorClients(t)
	proposal, err := clients["alice"].ProposeBundle(ctx, site.Jadeleaf().Bundle(1), "")
	assert.NilError(t, err)
	changes, err := clients["bob"].DiffBundle(ctx, 1)
	assert.NilError(t, err)
	assert.Assert(t, len(changes) > 0 && changes[0].Path != "")
	proposal, err = clients["bob"].ReviewBundle(ctx, 1, proposal.GetContentSha256())
	assert.NilError(t, err)
	signature, err := apiclient.Sign(proposal, "carol", keys["carol"].SignOff)
	assert.NilError(t, err)
	_, err = clients["carol"].SignOffBundle(ctx, 1, proposal.GetContentSha256(), signature)
	assert.NilError(t, err)
	status, err := clients["alice"].BundleStatus(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Version, apiclient.Int(1))
	assert.Assert(t, status.VMs[0].Reachable)

	issued, err := clients["alice"].IssueKey(ctx, "archive")
	assert.NilError(t, err)
	withdrawn, err := clients["alice"].WithdrawKey(ctx, issued.ID)
	assert.NilError(t, err)
	assert.Assert(t, withdrawn.Withdrawn && withdrawn.WithdrawnUnixMs > 0)
	listed, err := clients["alice"].Keys(ctx)
	assert.NilError(t, err)
	assert.Equal(t, listed[0].IssuedBy, "alice")

	zone, err := clients["alice"].DrainZone(ctx, "taichung-2")
	assert.NilError(t, err)
	assert.Equal(t, zone.State, siskinv1.ZoneState_ZONE_STATE_DRAINING.String())
	report, err := clients["alice"].Zone(ctx, "taichung-2")
	assert.NilError(t, err)
	assert.Equal(t, report.Running, apiclient.Int(3))
	assert.Equal(t, report.Status.ChangedBy, "alice")
	_, err = clients["alice"].ReturnZone(ctx, "taichung-2")
	assert.NilError(t, err)

	teams, err := clients["alice"].Teams(ctx)
	assert.NilError(t, err)
	running := map[string]apiclient.Int{}
	for _, team := range teams {
		assert.Assert(t, team.Ceiling.MilliCPU > 0)
		running[team.Name] = team.Running.MilliCPU
	}
	assert.Equal(t, running["archive"], apiclient.Int(7))
	vms, err := clients["alice"].VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, vms[0].State, "live")

	_, err = clients["alice"].IssueKey(ctx, "strangers")
	var refused *apiclient.Refusal
	assert.Assert(t, errors.As(err, &refused) && refused.NotRun && refused.Reason == refusal.BadRequest, "%v", err)
}
