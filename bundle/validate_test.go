package bundle_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
)

// Guards against a bundle that no VM can apply, and against findings that name only its first fault.
func TestValidateFindsEveryFault(t *testing.T) {
	text := `{"version": 0, "shards_per_zone": -1, "zones": [{"name": "z1", "region": "r"}, {"name": "z1"}],
		"teams": [{"name": "lab", "share": 0, "ceiling": {"milli_cpu": 1}}, {"name": "x", "share": 1}],
		"queues": [{"name": "a"}, {"name": "b", "team": "lab", "open_to_all": true}, {"name": "c", "team": "none"},
			{"name": "d", "open_to_all": true}, {"name": "e", "team": "lab", "open_team": "lab"}],
		"services": [{"name": "s", "team": "none", "slots": 8, "connections": 4, "timeout_ms": 0, "max_waiting": -1}]}`
	b, findings, err := bundle.Parse([]byte(text))
	assert.NilError(t, err)
	assert.Equal(t, b.GetTeams()[0].GetName(), "lab")
	want := []string{
		"$.version: 0 is not between 1 and 4611686018427387904",
		"$.shards_per_zone: -1 is not between 0 and 64",
		`$.zones[1].name: "z1" is already used at $.zones[0].name`,
		"$.zones[1].region: is missing",
		"$.teams[0].share: 0 is not between 1 and 1000000",
		"$.teams[0].ceiling.memory_bytes: 0 is not between 1 and 72057594037927936",
		"$.teams[1].ceiling: is missing",
		"$.queues[0].team: is missing; a queue has either a team or open_to_all",
		"$.queues[1].team: must be left out of a queue open to all; its team is open_team",
		`$.queues[2].team: no team has the name "none"`,
		"$.queues[3].open_team: is missing",
		"$.queues[4].open_team: is only allowed with open_to_all",
		`$.services[0].team: no team has the name "none"`,
		"$.services[0].connections: 4 connections can't carry 8 slots",
		"$.services[0].timeout_ms: 0 is not between 1 and 3600000",
		"$.services[0].max_waiting: -1 is not between 0 and 1000000",
	}
	assert.DeepEqual(t, findings.Lines(), want)
	assert.NilError(t, bundle.Validate(sampleBundle(1)).Err())
}

// Guards against a bundle that is too large for one value of the store.
func TestValidateBoundsTheSize(t *testing.T) {
	b := sampleBundle(1)
	for len(b.Queues) < 4500 {
		b.Queues = append(b.Queues, &siskinv1.Queue{Name: strings.Repeat("q", len(b.Queues)%64), Team: strings.Repeat("t", 150)})
	}
	assert.Assert(t, strings.Contains(bundle.Validate(b).Lines()[0], "more than 524288"))
}

// Guards against a change that a reviewer does not see.
func TestDiffShowsEveryChange(t *testing.T) {
	from, to := sampleBundle(1), sampleBundle(2)
	assert.Equal(t, len(bundle.Diff(from, sampleBundle(1))), 0)
	to.Teams[0].Ceiling.MilliCpu = 5
	to.Queues = to.Queues[:1]
	to.Queues[0].DefaultUrgency = siskinv1.Urgency_URGENCY_URGENT
	to.Zones[0], to.Zones[1] = to.Zones[1], to.Zones[0]
	to.Services = append(to.Services, &siskinv1.Service{Name: "preview", Slots: 1})
	want := []bundle.Change{
		{Path: "$.version", From: "1", To: "2"},
		{Path: "$.zones (order)", From: "z1, z2", To: "z2, z1"},
		{Path: `$.teams["lab"].ceiling.milli_cpu`, From: "64000", To: "5"},
		{Path: `$.queues["lab"].default_urgency`, From: "URGENCY_UNSPECIFIED", To: "URGENCY_URGENT"},
		{Path: `$.queues["public"]`, From: `{"name":"public","open_to_all":true,"open_team":"lab"}`},
		{Path: `$.services["preview"]`, To: `{"name":"preview","slots":1}`},
	}
	assert.DeepEqual(t, bundle.Diff(from, to), want)
	assert.Equal(t, len(bundle.Diff(nil, from)), 8, "%v", bundle.Diff(nil, from))
}
