package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/apiclient"
)

func (a *App) zoneCommands() *cli.Command {
	return a.group("zone", "take availability zones out of service and back",
		a.leaf(leaf{
			name: "drain", usage: "take a zone out of service", args: []string{"ZONE"},
			example: "siskinctl zone drain --wait taichung-2", run: a.drainZone,
			flags: waitFlags("wait until no task runs in the zone"),
		}),
		a.leaf(leaf{
			name: "return", usage: "put a zone back in service", args: []string{"ZONE"},
			example: "siskinctl zone return taichung-2", run: a.returnZone,
		}),
		a.leaf(leaf{
			name: "status", usage: "show the state of a zone", args: []string{"ZONE"},
			example: "siskinctl zone status taichung-2", run: a.zoneStatus,
		}),
	)
}

func (a *App) drainZone(ctx context.Context, cmd *cli.Command) error {
	err := callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.ZoneStatus, error) {
		return c.DrainZone(ctx, cmd.Args().First())
	}, showZone)
	if err != nil || !cmd.Bool(flagWait) {
		return err
	}
	c, err := client(cmd)
	if err != nil {
		return err
	}
	defer c.Close()
	return a.poll(ctx, cmd, func(ctx context.Context, progress *progressPrinter) (bool, error) {
		report, err := c.Zone(ctx, cmd.Args().First())
		if err != nil {
			return false, err
		}
		progress.show("%s: %d tasks still run", cmd.Args().First(), report.Running)
		return report.Running == 0, nil
	})
}

func (a *App) returnZone(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.ZoneStatus, error) {
		return c.ReturnZone(ctx, cmd.Args().First())
	}, showZone)
}

func showZone(zone apiclient.ZoneStatus) (result, error) {
	return result{
		json: zone, header: []string{"ZONE", "STATE", "SINCE", "CHANGED BY"},
		rows: [][]string{{zone.Zone, zone.State, timestamp(zone.SinceUnixMs), zone.ChangedBy}},
	}, nil
}

func (a *App) zoneStatus(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.ZoneReport, error) {
		return c.Zone(ctx, cmd.Args().First())
	}, func(zone apiclient.ZoneReport) (result, error) {
		return result{
			json: zone, header: []string{"ZONE", "STATE", "SINCE", "CHANGED BY", "RUNNING", "QUEUED"},
			rows: [][]string{{
				zone.Status.Zone, zone.Status.State, timestamp(zone.Status.SinceUnixMs), zone.Status.ChangedBy,
				cell(zone.Running), cell(zone.Queued),
			}},
		}, nil
	})
}

func (a *App) vmCommands() *cli.Command {
	return a.group("vm", "VMs of the fleet", a.leaf(leaf{
		name: "list", usage: "list the VMs", example: "siskinctl vm list", run: a.listVMs,
	}))
}

func (a *App) listVMs(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) ([]apiclient.VM, error) {
		return c.VMs(ctx)
	}, func(vms []apiclient.VM) (result, error) {
		output := result{
			json:   map[string]any{"vms": append([]apiclient.VM{}, vms...)},
			header: []string{"VM", "ROLE", "ZONE", "RACK", "LEAVING", "STATE"},
		}
		for _, vm := range vms {
			output.rows = append(output.rows, []string{vm.Name, vm.Role, vm.Zone, vm.Rack, cell(vm.Leaving), vm.State})
		}
		return output, nil
	})
}
