// Command siskinctl is the tool of members and operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/demo"
)

func main() { os.Exit(execute()) }

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:  "siskinctl",
		Usage: "hand in work and operate siskinstack",
		Commands: []*cli.Command{{
			Name:   "demo",
			Usage:  "run a whole site in one process on loopback",
			Action: func(ctx context.Context, _ *cli.Command) error { return demo.Run(ctx, os.Stdout) },
		}},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "siskinctl:", err)
		return 1
	}
	return 0
}
