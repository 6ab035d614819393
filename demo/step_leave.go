package demo

import (
	"context"
	"fmt"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/infra"
)

// leaveFor goes on for a while after the few seconds in which a leaving endpoint may still be tried.
const leaveFor = 4500 * time.Millisecond

// leaveEndpoint lets the first endpoint leave. The list of VMs shows it later.
func (r *run) leaveEndpoint(ctx context.Context) (string, error) {
	name := "endpoint-0"
	left := promises.Leaving{Endpoint: name, At: time.Now()}
	r.cluster.platform.Endpoints.SetLeaving(name)
	r.cluster.platform.VMs.Update(func(vms []infra.VM) []infra.VM {
		for i := range vms {
			vms[i].Leaving = vms[i].Leaving || vms[i].Name == name
		}
		return vms
	})
	r.recorder.update(func(records *promises.Records) { records.Leaving = append(records.Leaving, left) })
	pause(ctx, leaveFor)
	return fmt.Sprintf("%s left", name), nil
}
