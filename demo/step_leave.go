package demo

import (
	"context"
	"fmt"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/infra"
)

// leaveDuration exceeds the 3 s in which a leaving endpoint may still be sent requests.
const leaveDuration = 4500 * time.Millisecond

// leaveEndpoint makes the first endpoint leave. The list of VMs shows this with a delay.
func (r *run) leaveEndpoint(ctx context.Context) (string, error) {
	name := "endpoint-0"
	leaving := promises.Leaving{Endpoint: name, At: time.Now()}
	r.cluster.platform.Endpoints.SetLeaving(name)
	r.cluster.platform.VMs.Update(func(vms []infra.VM) []infra.VM {
		for i := range vms {
			vms[i].Leaving = vms[i].Leaving || vms[i].Name == name
		}
		return vms
	})
	r.recorder.update(func(records *promises.Records) { records.Leaving = append(records.Leaving, leaving) })
	pause(ctx, leaveDuration)
	return fmt.Sprintf("%s left", name), nil
}
