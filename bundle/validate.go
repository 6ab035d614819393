// Package bundle validates configuration bundles and manages their proposal, review and sign-off.
package bundle

import (
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/jsoncheck"
	"siskinstack.example/siskinstack/names"
)

// Limits of a bundle. They are above the design size (7 zones, 45 teams) and reject wrong units and runaway lists.
const (
	MaxBytes         = 512 << 10 // a proposal has to fit into one value of the store
	maxZones         = 64
	maxShardsPerZone = 64
	maxTeams         = 1_000
	maxQueues        = 5_000
	maxServices      = 1_000
	maxShare         = 1_000_000
	maxCommentBytes  = 4_096
	maxSlots         = 1_024
	maxConnections   = 65_535
	maxTimeoutMs     = 3_600_000
	maxWaiting       = 1_000_000
	maxMilliCPU      = 1 << 40
	maxMemoryBytes   = 1 << 56
	maxAccelerators  = 1 << 30
)

// Parse decodes and validates a bundle in JSON. A bundle with findings must not be used.
func Parse(text []byte) (*siskinv1.Bundle, jsoncheck.Findings, error) {
	b := &siskinv1.Bundle{}
	findings, err := jsoncheck.DecodePartial(text, b)
	if err != nil {
		return nil, nil, err
	}
	findings.Merge(Validate(b))
	return b, findings, nil
}

// Validate returns all findings about the content of a bundle. Every VM also validates bundles that are in force already, so
// a rule must not become stricter for content that an earlier release accepted.
func Validate(b *siskinv1.Bundle) jsoncheck.Findings {
	v := &validator{bundle: b, teams: map[string]bool{}}
	for _, team := range b.GetTeams() {
		v.teams[team.GetName()] = true
	}
	v.checkGeneral()
	v.checkZones()
	v.checkTeams()
	v.checkQueues()
	v.checkServices()
	return v.findings
}

type validator struct {
	bundle   *siskinv1.Bundle
	teams    map[string]bool
	findings jsoncheck.Findings
}

func (v *validator) checkGeneral() {
	v.checkRange("$.version", v.bundle.GetVersion(), 1, 1<<62)
	v.checkRange("$.shards_per_zone", int64(v.bundle.GetShardsPerZone()), 0, maxShardsPerZone)
	if len(v.bundle.GetComment()) > maxCommentBytes {
		v.findings.Add("$.comment", "is longer than %d bytes", maxCommentBytes)
	}
	if size := proto.Size(v.bundle); size > MaxBytes {
		v.findings.Add("$", "encodes to %d bytes, more than %d", size, MaxBytes)
	}
}

func (v *validator) checkRange(path string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		v.findings.Add(path, "%d is not between %d and %d", value, minimum, maximum)
	}
}

func (v *validator) checkLength(path string, length, minimum, maximum int) {
	if length < minimum || length > maximum {
		v.findings.Add(path, "has %d entries, not %d to %d", length, minimum, maximum)
	}
}

func (v *validator) checkZones() {
	v.checkLength("$.zones", len(v.bundle.GetZones()), 1, maxZones)
	zones := names.Unique{}
	for i, zone := range v.bundle.GetZones() {
		path := jsoncheck.Index("$.zones", i)
		zones.Check(&v.findings, path+".name", zone.GetName())
		names.Check(&v.findings, path+".region", zone.GetRegion())
	}
}

func (v *validator) checkTeams() {
	v.checkLength("$.teams", len(v.bundle.GetTeams()), 1, maxTeams)
	teams := names.Unique{}
	for i, team := range v.bundle.GetTeams() {
		path := jsoncheck.Index("$.teams", i)
		teams.Check(&v.findings, path+".name", team.GetName())
		v.checkRange(path+".share", team.GetShare(), 1, maxShare)
		v.checkCeiling(path+".ceiling", team.GetCeiling())
	}
}

// checkCeiling requires CPU and memory: a team without either, for example because of an omitted field, could run nothing.
func (v *validator) checkCeiling(path string, ceiling *siskinv1.Resources) {
	if ceiling == nil {
		v.findings.Add(path, "is missing")
		return
	}
	v.checkRange(path+".milli_cpu", ceiling.GetMilliCpu(), 1, maxMilliCPU)
	v.checkRange(path+".memory_bytes", ceiling.GetMemoryBytes(), 1, maxMemoryBytes)
	v.checkRange(path+".accelerators", ceiling.GetAccelerators(), 0, maxAccelerators)
}

func (v *validator) checkQueues() {
	v.checkLength("$.queues", len(v.bundle.GetQueues()), 0, maxQueues)
	queues := names.Unique{}
	for i, queue := range v.bundle.GetQueues() {
		path := jsoncheck.Index("$.queues", i)
		queues.Check(&v.findings, path+".name", queue.GetName())
		v.checkQueue(path, queue)
	}
}

func (v *validator) checkQueue(path string, queue *siskinv1.Queue) {
	if _, known := siskinv1.Urgency_name[int32(queue.GetDefaultUrgency())]; !known {
		v.findings.Add(path+".default_urgency", "unknown value %d", queue.GetDefaultUrgency())
	}
	switch {
	case queue.GetOpenToAll() && queue.GetTeam() != "":
		v.findings.Add(path+".team", "must be left out of a queue open to all; its team is open_team")
	case queue.GetOpenToAll():
		v.checkTeam(path+".open_team", queue.GetOpenTeam())
	case queue.GetTeam() == "":
		v.findings.Add(path+".team", "is missing; a queue has either a team or open_to_all")
	default:
		v.checkTeam(path+".team", queue.GetTeam())
	}
	if !queue.GetOpenToAll() && queue.GetOpenTeam() != "" {
		v.findings.Add(path+".open_team", "is only allowed with open_to_all")
	}
}

func (v *validator) checkTeam(path, name string) {
	switch {
	case name == "":
		v.findings.Add(path, "is missing")
	case !v.teams[name]:
		v.findings.Add(path, "no team has the name %.70q", name)
	}
}

func (v *validator) checkServices() {
	v.checkLength("$.services", len(v.bundle.GetServices()), 0, maxServices)
	services := names.Unique{}
	for i, service := range v.bundle.GetServices() {
		path := jsoncheck.Index("$.services", i)
		services.Check(&v.findings, path+".name", service.GetName())
		v.checkTeam(path+".team", service.GetTeam())
		v.checkRange(path+".slots", int64(service.GetSlots()), 1, maxSlots)
		v.checkRange(path+".connections", int64(service.GetConnections()), 1, maxConnections)
		if service.GetConnections() < service.GetSlots() {
			v.findings.Add(path+".connections", "%d connections can't carry %d slots", service.GetConnections(), service.GetSlots())
		}
		v.checkRange(path+".timeout_ms", service.GetTimeoutMs(), 1, maxTimeoutMs)
		v.checkRange(path+".max_waiting", int64(service.GetMaxWaiting()), 0, maxWaiting)
	}
}
