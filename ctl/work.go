package ctl

import (
	"context"
	"crypto/rand"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
)

const (
	flagRequestKey = "request-key"
	flagLimit      = "limit"
	flagAfter      = "after"
)

func (a *App) workCommands() *cli.Command {
	return a.group("work", "submit work and follow it",
		a.leaf(leaf{
			name: "submit", usage: "submit the work described by a JSON file", args: []string{"FILE"},
			example: "siskinctl --server 10.0.0.1:8080 work submit --wait stitch.json",
			flags: append(waitFlags("wait until no task is queued or running; services: until all run"),
				&cli.StringFlag{
					Name: flagRequestKey, Usage: "`KEY` that makes a repeated submission safe; generated if absent",
				}),
			run: a.submitWork,
		}),
		a.leaf(leaf{
			name: "list", usage: "list the work of the team", run: a.listWork,
			example: "siskinctl work list --limit 20",
			flags: []cli.Flag{
				&cli.IntFlag{Name: flagLimit, Usage: "maximum number of `ENTRIES` to list; 0 selects the server's limit"},
				&cli.StringFlag{Name: flagAfter, Usage: "list the work after `ID`"},
			},
		}),
		a.leaf(leaf{
			name: "get", usage: "show the state of work", args: []string{"ID"},
			example: "siskinctl --output json work get taichung-1-0.abc", run: a.workCall((*apiclient.Client).Work),
		}),
		a.leaf(leaf{
			name: "cancel", usage: "cancel work", args: []string{"ID"},
			example: "siskinctl work cancel taichung-1-0.abc", run: a.workCall((*apiclient.Client).CancelWork),
		}),
		a.leaf(leaf{
			name: "explain", usage: "show why work waits and what would have to change", args: []string{"ID"},
			example: "siskinctl work explain taichung-1-0.abc", run: a.explainWork,
		}),
	)
}

func (a *App) submitWork(ctx context.Context, cmd *cli.Command) error {
	spec := &siskinv1.WorkSpec{}
	if err := readMessage(cmd.Args().First(), spec); err != nil {
		return err
	}
	c, err := client(cmd)
	if err != nil {
		return err
	}
	defer c.Close()
	key := cmd.String(flagRequestKey)
	if key == "" {
		key = rand.Text()
	}
	call, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	submitted, err := c.Submit(call, spec, key)
	if err != nil {
		return eris.Wrapf(err, "submit with request key %s, which makes a retry safe", key)
	}
	if !cmd.Bool(flagWait) {
		return a.print(cmd, result{
			json: submitted, header: []string{"ID", "REPEATED"},
			rows: [][]string{{submitted.ID, cell(submitted.Repeated)}},
		})
	}
	return a.waitForWork(ctx, cmd, c, submitted.ID)
}

func (a *App) waitForWork(ctx context.Context, cmd *cli.Command, c *apiclient.Client, id string) error {
	var last *siskinv1.WorkStatus
	err := a.poll(ctx, cmd, func(ctx context.Context, progress *progressPrinter) (bool, error) {
		status, err := c.Work(ctx, id)
		if err != nil {
			return false, err
		}
		last = status
		progress.show("%s: queued %d, running %d, succeeded %d, failed %d %s", id, status.GetQueued(), status.GetRunning(),
			status.GetSucceeded(), status.GetFailed(), status.GetWaitingReason())
		return settled(status), nil
	})
	if err != nil {
		return eris.Wrapf(err, "work %s was accepted, but its final state is unknown", id)
	}
	output, err := showWork(last)
	if err != nil {
		return err
	}
	if err := a.print(cmd, output); err != nil {
		return err
	}
	if unsuccessful := last.GetFailed() + last.GetCancelled() + last.GetUnknown(); unsuccessful > 0 {
		return eris.Errorf("%d tasks of %s did not succeed", unsuccessful, id)
	}
	return nil
}

// settled reports whether a wait for work is over: no task is queued or running or, for a service, all its tasks are running.
func settled(status *siskinv1.WorkStatus) bool {
	if status.GetSpec().GetKind() == siskinv1.WorkKind_WORK_KIND_SERVICE {
		return status.GetQueued() == 0 && status.GetRunning() == status.GetSpec().GetCount()
	}
	return status.GetQueued()+status.GetRunning() == 0
}

func (a *App) listWork(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.WorkList, error) {
		return c.ListWork(ctx, cmd.Int(flagLimit), cmd.String(flagAfter))
	}, func(list apiclient.WorkList) (result, error) {
		encoded, err := messages(list.Work)
		output := result{header: workHeader, json: map[string]any{
			"work": encoded, "unavailable_shards": append([]string{}, list.UnavailableShards...),
		}}
		for _, status := range list.Work {
			output.rows = append(output.rows, workRow(status))
		}
		for _, shard := range list.UnavailableShards {
			output.rows = append(output.rows, []string{"shard " + shard + " is unavailable"})
		}
		return output, err
	})
}

func (a *App) workCall(
	call func(*apiclient.Client, context.Context, string) (*siskinv1.WorkStatus, error),
) func(context.Context, *cli.Command) error {
	return func(ctx context.Context, cmd *cli.Command) error {
		return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (*siskinv1.WorkStatus, error) {
			return call(c, ctx, cmd.Args().First())
		}, showWork)
	}
}

func (a *App) explainWork(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.Explanation, error) {
		return c.ExplainWork(ctx, cmd.Args().First())
	}, func(explanation apiclient.Explanation) (result, error) {
		return result{
			json: explanation, header: []string{"ID", "WAITS FOR", "REMEDY", "READY BY AT RISK"},
			rows: [][]string{{explanation.ID, explanation.WaitingReason, explanation.WaitingRemedy, cell(explanation.ReadyByAtRisk)}},
		}, nil
	})
}

var workHeader = []string{
	"ID", "TEAM", "NAME", "KIND", "QUEUED", "RUNNING", "SUCCEEDED", "FAILED", "CANCELLED", "UNKNOWN", "WAITS FOR",
}

func workRow(status *siskinv1.WorkStatus) []string {
	return []string{
		status.GetId(), status.GetTeam(), status.GetSpec().GetName(), cell(status.GetSpec().GetKind()),
		cell(status.GetQueued()), cell(status.GetRunning()), cell(status.GetSucceeded()), cell(status.GetFailed()),
		cell(status.GetCancelled()), cell(status.GetUnknown()), status.GetWaitingReason(),
	}
}

func showWork(status *siskinv1.WorkStatus) (result, error) {
	text, err := message(status)
	return result{json: text, header: workHeader, rows: [][]string{workRow(status)}}, err
}
