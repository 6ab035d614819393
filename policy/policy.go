// Package policy holds the operators' configuration of a deployment in this project's terms: queues, teams with their
// keys and ceilings, and services.
package policy

import (
	"strings"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

// Policy is one version of the configuration. It is immutable.
type Policy struct {
	Version  int64
	Queues   []Queue
	Teams    map[string]Team
	Services map[string]Service
	Limits   Limits
	byKey    map[string]string
	byName   map[string]*siskinv1.QueuePolicy
}

// Queue is a queue with the host and the path prefix that select it.
type Queue struct {
	Host   string
	Prefix string
	Policy *siskinv1.QueuePolicy
}

// Team is a team with its share and its ceiling over the whole fleet.
type Team struct {
	Name string
	// Share is the team's weight when a full fleet is divided among the teams, and its guaranteed rate of jobs per second.
	Share int64
	// Ceiling bounds the resources of the team's running tasks; zero in a dimension means no bound.
	Ceiling resource.Vector
	Keys    []string
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity is true if workers decline tasks that do not fit; other workers start all tasks they are sent.
	EnforcesCapacity bool
}

// Limits bound the size and the duration of callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns a policy.
func New(version int64, queues []Queue, teams []Team, services []Service, limits Limits) *Policy {
	p := &Policy{
		Version: version, Queues: queues, Limits: limits, Teams: map[string]Team{}, Services: map[string]Service{},
		byKey: map[string]string{}, byName: map[string]*siskinv1.QueuePolicy{},
	}
	for _, team := range teams {
		p.Teams[team.Name] = team
		for _, key := range team.Keys {
			p.byKey[key] = team.Name
		}
	}
	for _, service := range services {
		p.Services[service.Name] = service
	}
	for _, queue := range queues {
		p.byName[queue.Policy.GetName()] = queue.Policy
	}
	return p
}

// RemovedKeys returns for each team how many of its keys a later policy no longer assigns to it.
func (p *Policy) RemovedKeys(next *Policy) map[string]int {
	removed := map[string]int{}
	for key, team := range p.byKey {
		if next.byKey[key] != team {
			removed[team]++
		}
	}
	return removed
}

// Match returns the queue of a host with the longest matching prefix of path, and the rest of the path.
func (p *Policy) Match(host, path string) (*siskinv1.QueuePolicy, string, bool) {
	var found *Queue
	for i := range p.Queues {
		q := &p.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	if found == nil {
		return nil, "", false
	}
	return found.Policy, path[len(found.Prefix):], true
}

// TeamOf returns the team of a key.
func (p *Policy) TeamOf(key string) (string, bool) {
	team, ok := p.byKey[key]
	return team, ok
}

// Queue returns a queue by its name, or nil.
func (p *Policy) Queue(name string) *siskinv1.QueuePolicy { return p.byName[name] }
