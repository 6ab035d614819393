package site

import (
	"cmp"
	"net"
	"strconv"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// listenersPerVM is the number of addresses of an entry VM: callers, peers, admin.
const listenersPerVM = 3

// Addresses returns loopback addresses for the entry VMs, with consecutive ports starting at first, or with free ports
// if first is 0.
func (s Site) Addresses(first int) ([]*siskinv1.Listen, error) {
	addresses := make([]string, s.EntryVMs*listenersPerVM)
	for i := range addresses {
		port := 0
		if first > 0 {
			port = first + i
		}
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return nil, eris.Wrap(err, "find a free port")
		}
		// All listeners stay open until the last port is found, so that no port is chosen twice.
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	listens := make([]*siskinv1.Listen, s.EntryVMs)
	for i := range listens {
		own := addresses[i*listenersPerVM:]
		listens[i] = &siskinv1.Listen{Callers: own[0], Peers: own[1], Admin: own[2]}
	}
	return listens, nil
}

// Settings returns the settings of every entry VM. platformURL returns the address of the platform for a VM.
func (s Site) Settings(
	listens []*siskinv1.Listen, operators []*siskinv1.Operator, platformURL func(vm string) string,
) []*siskinv1.Settings {
	var peers []*siskinv1.Peer
	for i, listen := range listens {
		peers = append(peers, &siskinv1.Peer{Vm: s.EntryVM(i), Zone: s.Zone(i), Address: listen.GetPeers()})
	}
	all := make([]*siskinv1.Settings, len(listens))
	for i, listen := range listens {
		all[i] = &siskinv1.Settings{
			Vm: s.EntryVM(i), Zone: s.Zone(i), Listen: listen, Peers: peers, Operators: operators,
			Platform: &siskinv1.Platform{Adapter: "http", Url: platformURL(s.EntryVM(i))},
		}
	}
	return all
}

// Bundle returns the first bundle of the site: its zones and teams, a queue for each team, its service, and the other
// queues and services of its example bundle.
func (s Site) Bundle(version int64) *siskinv1.Bundle {
	bundle := &siskinv1.Bundle{Version: version, Comment: "first bundle of " + s.Name}
	for _, zone := range s.Zones {
		bundle.Zones = append(bundle.Zones, &siskinv1.Zone{Name: zone, Region: s.Region})
	}
	total := s.TotalCapacity()
	for _, team := range s.Teams {
		ceiling := total.Proto()
		ceiling.MilliCpu = ceiling.GetMilliCpu() * team.CeilingPercent / 100
		ceiling.MemoryBytes = ceiling.GetMemoryBytes() * team.CeilingPercent / 100
		bundle.Teams = append(bundle.Teams, &siskinv1.Team{Name: team.Name, Share: team.Share, Ceiling: ceiling})
		bundle.Queues = append(bundle.Queues, &siskinv1.Queue{
			Name: team.Name, Team: team.Name, DefaultUrgency: siskinv1.Urgency_URGENCY_NORMAL,
		})
	}
	bundle.Services = []*siskinv1.Service{{
		Name: s.Service, Team: s.Teams[0].Name, Slots: s.Slots, Connections: s.Connections,
		TimeoutMs: serviceTimeoutMs, MaxWaiting: maxWaiting,
	}}
	s.addExample(bundle)
	return bundle
}

// addExample adds those queues and services of the example bundle whose teams exist at the site.
func (s Site) addExample(bundle *siskinv1.Bundle) {
	teams, queues := map[string]bool{}, map[string]bool{}
	for _, team := range s.Teams {
		teams[team.Name], queues[team.Name] = true, true
	}
	for _, queue := range s.example.GetQueues() {
		if !queues[queue.GetName()] && teams[cmp.Or(queue.GetTeam(), queue.GetOpenTeam())] {
			bundle.Queues = append(bundle.Queues, queue)
		}
	}
	for _, service := range s.example.GetServices() {
		if service.GetName() != s.Service && teams[service.GetTeam()] {
			bundle.Services = append(bundle.Services, service)
		}
	}
}

const (
	serviceTimeoutMs = 5000
	maxWaiting       = 200
)
