package infra

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/resource"
)

// VMRole is the purpose of a VM in the fleet.
type VMRole string

// The roles of VMs.
const (
	RoleEntry    VMRole = "entry"
	RoleWorker   VMRole = "worker"
	RoleEndpoint VMRole = "endpoint"
)

// VM is one entry of the platform's list.
type VM struct {
	Name     string          `json:"name"`
	Role     VMRole          `json:"role"`
	Zone     string          `json:"zone"`
	Rack     string          `json:"rack"`
	Address  string          `json:"address"`
	Leaving  bool            `json:"leaving"`
	Capacity resource.Vector `json:"room"`
	// Service names the service of an endpoint.
	Service string `json:"service,omitempty"`
}

// VMs is the list of live and leaving VMs as the platform knew it Lag ago.
type VMs struct {
	VMs []VM
	Lag time.Duration
}

// VMList is the platform's lagging list of VMs. It is a hint: no guarantee depends on it alone.
type VMList interface {
	List(ctx context.Context) (VMs, error)
}
