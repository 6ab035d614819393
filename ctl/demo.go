package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/demo"
)

func (a *App) demoCommand() *cli.Command {
	return a.leaf(leaf{
		name: "demo", usage: "run a whole site in one process on loopback and check every promise",
		example: "siskinctl --output json demo --site kvarali", flags: []cli.Flag{siteFlag()}, run: a.runDemo,
	})
}

func (a *App) runDemo(ctx context.Context, cmd *cli.Command) error {
	return demo.Run(ctx, a.Out)
}
