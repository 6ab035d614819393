package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/capacity"
)

const flagToday = "today"

func (a *App) capacityCommand() *cli.Command {
	return a.leaf(leaf{
		name: "capacity", usage: "estimate what a fleet of the design size costs, from the slopes of docs/CAPACITY.md",
		example: "siskinctl capacity --today",
		flags:   []cli.Flag{&cli.BoolFlag{Name: flagToday, Usage: "use the size of one of today's sites instead of the design size"}},
		run:     a.runCapacity,
	})
}

func (a *App) runCapacity(_ context.Context, cmd *cli.Command) error {
	size := capacity.Design()
	if cmd.Bool(flagToday) {
		size = capacity.Today()
	}
	return a.print(cmd, result{
		json: capacity.Figures(size, capacity.Measured()), header: capacity.Header(), rows: capacity.Rows(size, capacity.Measured()),
	})
}
