// Package bundle validates configuration bundles and takes them from proposal over review to sign-off.
package bundle

import (
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/jsoncheck"
	"siskinstack.example/siskinstack/names"
)

// Bounds of a bundle. They are above the design size (7 zones, 45 teams) and catch wrong units and runaway lists.
const (
	MaxBytes         = 512 << 10 // A proposal has to fit into one value of the store.
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

// Validate returns all findings about the content of a bundle. Every VM applies it to bundles that are in force already,
// so a rule must not become stricter for content that an earlier release accepted.
func Validate(b *siskinv1.Bundle) jsoncheck.Findings {
	c := &checker{bundle: b, teams: map[string]bool{}}
	for _, team := range b.GetTeams() {
		c.teams[team.GetName()] = true
	}
	c.general()
	c.zones()
	c.checkTeams()
	c.queues()
	c.services()
	return c.findings
}

type checker struct {
	bundle   *siskinv1.Bundle
	teams    map[string]bool
	findings jsoncheck.Findings
}

func (c *checker) general() {
	c.between("$.version", c.bundle.GetVersion(), 1, 1<<62)
	c.between("$.shards_per_zone", int64(c.bundle.GetShardsPerZone()), 0, maxShardsPerZone)
	if len(c.bundle.GetComment()) > maxCommentBytes {
		c.findings.Add("$.comment", "is longer than %d bytes", maxCommentBytes)
	}
	if size := proto.Size(c.bundle); size > MaxBytes {
		c.findings.Add("$", "encodes to %d bytes, more than %d", size, MaxBytes)
	}
}

func (c *checker) between(path string, value, least, most int64) {
	if value < least || value > most {
		c.findings.Add(path, "%d is not between %d and %d", value, least, most)
	}
}

func (c *checker) length(path string, length, least, most int) {
	if length < least || length > most {
		c.findings.Add(path, "has %d entries, not %d to %d", length, least, most)
	}
}

func (c *checker) zones() {
	c.length("$.zones", len(c.bundle.GetZones()), 1, maxZones)
	zones := names.Unique{}
	for i, zone := range c.bundle.GetZones() {
		path := jsoncheck.Index("$.zones", i)
		zones.Check(&c.findings, path+".name", zone.GetName())
		names.Check(&c.findings, path+".region", zone.GetRegion())
	}
}

func (c *checker) checkTeams() {
	c.length("$.teams", len(c.bundle.GetTeams()), 1, maxTeams)
	teams := names.Unique{}
	for i, team := range c.bundle.GetTeams() {
		path := jsoncheck.Index("$.teams", i)
		teams.Check(&c.findings, path+".name", team.GetName())
		c.between(path+".share", team.GetShare(), 1, maxShare)
		c.ceiling(path+".ceiling", team.GetCeiling())
	}
}

// ceiling requires processors and memory: a team without either could run nothing, which an omitted field would cause.
func (c *checker) ceiling(path string, ceiling *siskinv1.Resources) {
	if ceiling == nil {
		c.findings.Add(path, "is missing")
		return
	}
	c.between(path+".milli_cpu", ceiling.GetMilliCpu(), 1, maxMilliCPU)
	c.between(path+".memory_bytes", ceiling.GetMemoryBytes(), 1, maxMemoryBytes)
	c.between(path+".accelerators", ceiling.GetAccelerators(), 0, maxAccelerators)
}

func (c *checker) queues() {
	c.length("$.queues", len(c.bundle.GetQueues()), 0, maxQueues)
	queues := names.Unique{}
	for i, queue := range c.bundle.GetQueues() {
		path := jsoncheck.Index("$.queues", i)
		queues.Check(&c.findings, path+".name", queue.GetName())
		c.queue(path, queue)
	}
}

func (c *checker) queue(path string, queue *siskinv1.Queue) {
	if _, known := siskinv1.Urgency_name[int32(queue.GetDefaultUrgency())]; !known {
		c.findings.Add(path+".default_urgency", "unknown value %d", queue.GetDefaultUrgency())
	}
	switch {
	case queue.GetOpenToAll() && queue.GetTeam() != "":
		c.findings.Add(path+".team", "must be left out of a queue open to all; its team is open_team")
	case queue.GetOpenToAll():
		c.team(path+".open_team", queue.GetOpenTeam())
	case queue.GetTeam() == "":
		c.findings.Add(path+".team", "is missing; a queue has either a team or open_to_all")
	default:
		c.team(path+".team", queue.GetTeam())
	}
	if !queue.GetOpenToAll() && queue.GetOpenTeam() != "" {
		c.findings.Add(path+".open_team", "is only allowed with open_to_all")
	}
}

func (c *checker) team(path, name string) {
	switch {
	case name == "":
		c.findings.Add(path, "is missing")
	case !c.teams[name]:
		c.findings.Add(path, "no team has the name %.70q", name)
	}
}

func (c *checker) services() {
	c.length("$.services", len(c.bundle.GetServices()), 0, maxServices)
	services := names.Unique{}
	for i, service := range c.bundle.GetServices() {
		path := jsoncheck.Index("$.services", i)
		services.Check(&c.findings, path+".name", service.GetName())
		c.team(path+".team", service.GetTeam())
		c.between(path+".slots", int64(service.GetSlots()), 1, maxSlots)
		c.between(path+".connections", int64(service.GetConnections()), 1, maxConnections)
		if service.GetConnections() < service.GetSlots() {
			c.findings.Add(path+".connections", "%d connections can't carry %d slots", service.GetConnections(), service.GetSlots())
		}
		c.between(path+".timeout_ms", service.GetTimeoutMs(), 1, maxTimeoutMs)
		c.between(path+".max_waiting", int64(service.GetMaxWaiting()), 0, maxWaiting)
	}
}
