package infra

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of orders to the platform for a machine. Each proves that the order was not executed; after any other error
// that is unknown.
var (
	// ErrMachineBusy means that the machine is not up, or that its worker is leaving.
	ErrMachineBusy = eris.New("machine is not up or is leaving")
	// ErrMachineUnknown means that there is no such machine.
	ErrMachineUnknown = eris.New("machine does not exist")
	// ErrNotInWave means that the machine does not belong to the maintenance wave.
	ErrNotInWave = eris.New("machine is not part of the maintenance wave")
)

// Machine is a machine of the platform that runs one worker at a time.
type Machine struct {
	Name string
	// Pool is the service whose workers the machine runs.
	Pool   string
	Worker string
	// Up is false while the machine is moved, maintained or down.
	Up bool
}

// MaintenanceOrder tells the platform to maintain a machine. Everything that runs there ends immediately.
type MaintenanceOrder struct {
	Machine string
	Wave    int64
	// Holder is the VM of the controller that gives the order; Epoch is its epoch.
	Holder string
	Epoch  int64
}

// Machines manages the platform's machines.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Maintain also succeeds if the machine has already been maintained in the wave.
	Maintain(ctx context.Context, order MaintenanceOrder) error
}
