package ctl

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/apiclient"
)

func (a *App) teamCommands() *cli.Command {
	return a.group("team", "teams and their use of the fleet", a.leaf(leaf{
		name: "list", usage: "list the teams", example: "siskinctl team list", run: a.listTeams,
	}))
}

func (a *App) listTeams(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) ([]apiclient.Team, error) {
		return c.Teams(ctx)
	}, func(teams []apiclient.Team) (result, error) {
		output := result{
			json:   map[string]any{"teams": append([]apiclient.Team{}, teams...)},
			header: []string{"TEAM", "SHARE", "CEILING CORES", "CEILING GIB", "RUNNING CORES", "RUNNING GIB"},
		}
		for _, team := range teams {
			output.rows = append(output.rows, []string{
				team.Name, cell(team.Share), cores(team.Ceiling), gibibytes(team.Ceiling),
				cores(team.Running), gibibytes(team.Running),
			})
		}
		return output, nil
	})
}

const (
	milli = 1000
	gib   = 1 << 30
)

func cores(r apiclient.Resources) string     { return cell(float64(r.MilliCPU) / milli) }
func gibibytes(r apiclient.Resources) string { return cell(int64(r.MemoryBytes) / gib) }

func (a *App) keyCommands() *cli.Command {
	return a.group("key", "issue and withdraw team keys",
		a.leaf(leaf{
			name: "issue", usage: "issue a key, which is shown once", args: []string{"TEAM"},
			example: "siskinctl key issue stitching", run: a.issueKey,
		}),
		a.leaf(leaf{
			name: "withdraw", usage: "withdraw a key permanently", args: []string{"ID"},
			example: "siskinctl key withdraw 7f3a", run: a.withdrawKey,
		}),
		a.leaf(leaf{name: "list", usage: "list the keys", example: "siskinctl key list", run: a.listKeys}),
	)
}

func (a *App) issueKey(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.IssuedKey, error) {
		return c.IssueKey(ctx, cmd.Args().First())
	}, func(key apiclient.IssuedKey) (result, error) {
		return result{
			json: key, header: []string{"ID", "TEAM", "KEY"}, rows: [][]string{{key.ID, key.Team, key.Key}},
		}, nil
	})
}

func (a *App) withdrawKey(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.Key, error) {
		return c.WithdrawKey(ctx, cmd.Args().First())
	}, func(key apiclient.Key) (result, error) {
		return result{json: key, header: keyHeader, rows: [][]string{keyRow(key)}}, nil
	})
}

func (a *App) listKeys(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) ([]apiclient.Key, error) {
		return c.Keys(ctx)
	}, func(keys []apiclient.Key) (result, error) {
		output := result{json: map[string]any{"keys": append([]apiclient.Key{}, keys...)}, header: keyHeader}
		for _, key := range keys {
			output.rows = append(output.rows, keyRow(key))
		}
		return output, nil
	})
}

var keyHeader = []string{"ID", "TEAM", "WITHDRAWN", "ISSUED BY", "ISSUED"}

func keyRow(key apiclient.Key) []string {
	return []string{key.ID, key.Team, cell(key.Withdrawn), key.IssuedBy, timestamp(key.IssuedUnixMs)}
}

// timestamp formats Unix milliseconds as UTC; zero becomes an empty string.
func timestamp(unixMs apiclient.Int) string {
	if unixMs == 0 {
		return ""
	}
	return time.UnixMilli(int64(unixMs)).UTC().Format(time.RFC3339)
}
