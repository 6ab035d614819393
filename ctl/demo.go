package ctl

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/demo"
	"siskinstack.example/siskinstack/standin/site"
)

func (a *App) demoCommand() *cli.Command {
	return a.leaf(leaf{
		name: "demo", usage: "run a whole site in one process on loopback and check every guarantee of the system",
		example: "siskinctl --output json demo --site kvarali", flags: []cli.Flag{siteFlag()}, run: a.runDemo,
	})
}

func (a *App) runDemo(ctx context.Context, cmd *cli.Command) error {
	chosen, err := site.ByName(cmd.String(flagSite))
	if err != nil {
		return usagef("%v", err)
	}
	report, err := demo.Run(ctx, chosen, func(step demo.Step) {
		_, _ = fmt.Fprintf(a.Err, "%-24s %-14s %6d ms  %s\n", step.Name, step.State, step.TookMs, step.Detail)
	})
	if err != nil {
		return err
	}
	if err := a.print(cmd, showReport(report)); err != nil {
		return err
	}
	return report.Err()
}

func showReport(report demo.Report) result {
	output := result{json: report, header: []string{"PROMISE", "HELD", "OBSERVATIONS", "DETAIL"}}
	for _, verdict := range report.Promises {
		output.rows = append(output.rows, []string{
			string(verdict.ID), heldText(verdict.Held, verdict.Observations), cell(verdict.Observations), verdict.Detail,
		})
		for _, violation := range verdict.Violations {
			output.rows = append(output.rows, []string{"", "", "", violation})
		}
	}
	return output
}

func heldText(held bool, observations int) string {
	switch {
	case !held:
		return "BROKEN"
	case observations == 0:
		return "not seen"
	default:
		return "yes"
	}
}
