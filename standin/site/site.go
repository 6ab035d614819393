// Package site describes the two sites whose sizes and delays the demo and the simulated platform use by default.
package site

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/examples"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/jsoncheck"
	"siskinstack.example/siskinstack/resource"
)

// Site describes the fleet of one site, the delays of its network and its teams.
type Site struct {
	Name   string
	Region string
	// Zones lists the names of the availability zones.
	Zones    []string
	EntryVMs int

	Workers        int
	WorkersPerRack int
	WorkerCapacity resource.Vector

	Service     string
	Endpoints   int
	Slots       int32
	Connections int32

	// ZoneDelay is added to calls between zones, ClientDelay to calls of clients.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	VMListLag   time.Duration

	Teams []Team
	// example is the site's example bundle, whose queues and services are added to those of the site.
	example *siskinv1.Bundle
}

// Team is a team with its share and its ceiling as a percentage of the fleet.
type Team struct {
	Name  string
	Share int64
	// CeilingPercent is the percentage of the whole fleet that the team may use.
	CeilingPercent int64
}

const (
	gib = 1 << 30
	// kvaraliZoneDelay and jadeleafZoneDelay are the sites' round-trip times between zones.
	kvaraliZoneDelay  = 500 * time.Microsecond
	jadeleafZoneDelay = time.Millisecond
	clientDelay       = time.Millisecond
	vmListLag         = 2 * time.Second
)

// Names lists the known sites.
func Names() []string { return []string{"jadeleaf", "kvarali"} }

// ByName returns a known site.
func ByName(name string) (Site, error) {
	switch name {
	case "jadeleaf":
		return Jadeleaf(), nil
	case "kvarali":
		return Kvarali(), nil
	}
	return Site{}, eris.Errorf("site %q is not known; choose one of %v", name, Names())
}

// Jadeleaf returns the slide imaging site in Taichung.
func Jadeleaf() Site {
	s := newSite("jadeleaf", "taichung")
	s.Service = "orders"
	s.WorkerCapacity = resource.Vector{MilliCPU: 64_000, MemoryBytes: 128 * gib}
	s.ZoneDelay = jadeleafZoneDelay
	s.loadExample()
	return s
}

// Kvarali returns the booking site in Kartli.
func Kvarali() Site {
	s := newSite("kvarali", "kartli")
	s.Service = "tickets"
	s.WorkerCapacity = resource.Vector{MilliCPU: 64_000, MemoryBytes: 256 * gib}
	s.ZoneDelay = kvaraliZoneDelay
	s.loadExample()
	return s
}

// loadExample adds the teams of the site's example bundle, with their ceilings as percentages of the fleet. The example
// is embedded, so an error in it is a programming error.
func (s *Site) loadExample() {
	text, err := examples.Files.ReadFile(s.Name + "/bundle.json")
	if err != nil {
		panic(err)
	}
	example := &siskinv1.Bundle{}
	findings, err := jsoncheck.Decode(text, example)
	if err != nil || findings.Err() != nil {
		panic(fmt.Sprintf("example bundle of %s: %v %v", s.Name, err, findings.Err()))
	}
	s.example = example
	for _, team := range example.GetTeams() {
		percent := 100 * team.GetCeiling().GetMilliCpu() / s.TotalCapacity().MilliCPU
		s.Teams = append(s.Teams, Team{Name: team.GetName(), Share: team.GetShare(), CeilingPercent: percent})
	}
}

func newSite(name, region string) Site {
	return Site{
		Name: name, Region: region, Zones: []string{region + "-1", region + "-2", region + "-3"}, EntryVMs: 6,
		Workers: 50, WorkersPerRack: 8, Endpoints: 50, Slots: 8, Connections: 60,
		ClientDelay: clientDelay, VMListLag: vmListLag,
	}
}

// TotalCapacity returns the capacity of all workers.
func (s Site) TotalCapacity() resource.Vector { return s.WorkerCapacity.Scale(int64(s.Workers)) }

// EntryVM returns the name of an entry VM.
func (Site) EntryVM(i int) string { return fmt.Sprintf("entry-%d", i) }

// Zone returns the zone of the i-th VM of a role.
func (s Site) Zone(i int) string { return s.Zones[i%len(s.Zones)] }

// Fleet returns all VMs; endpoints have no addresses yet. Each rack holds workers of one zone only.
func (s Site) Fleet() []infra.VM {
	var vms []infra.VM
	for i := range s.EntryVMs {
		vms = append(vms, infra.VM{Name: s.EntryVM(i), Role: infra.RoleEntry, Zone: s.Zone(i)})
	}
	for i := range s.Workers {
		rack := i / len(s.Zones) / s.WorkersPerRack
		vms = append(vms, infra.VM{
			Name: fmt.Sprintf("worker-%d", i), Role: infra.RoleWorker, Zone: s.Zone(i),
			Rack: fmt.Sprintf("%s-rack-%d", s.Zone(i), rack), Capacity: s.WorkerCapacity,
		})
	}
	for i := range s.Endpoints {
		vms = append(vms, infra.VM{
			Name: fmt.Sprintf("endpoint-%d", i), Role: infra.RoleEndpoint, Zone: s.Zone(i), Service: s.Service,
		})
	}
	return vms
}
