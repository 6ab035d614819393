package ctl

import (
	"context"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/joblog"
)

const flagLog = "log"

func (a *App) traceCommand() *cli.Command {
	return a.leaf(leaf{
		name: "trace", usage: "show the trace of one job from the logs of the VMs", args: []string{"JOB"}, more: "FILE",
		example: "siskinctl trace 5c0e7a21d94b36f8 edge-1.log edge-2.log", run: a.trace,
		flags: []cli.Flag{&cli.StringSliceFlag{Name: flagLog, Usage: "`FILE` with log lines, like a FILE after JOB; several are merged; - or none: standard input"}},
	})
}

func (a *App) trace(_ context.Context, cmd *cli.Command) error {
	var logs []io.Reader
	for _, path := range append(cmd.StringSlice(flagLog), cmd.Args().Tail()...) {
		if path == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			return eris.Wrap(err, "log")
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	trace, err := joblog.ReadTrace(cmd.Args().First(), logs...)
	if err != nil {
		return err
	}
	if len(trace.Entries) == 0 {
		return eris.Errorf("no log line contains the job %q", cmd.Args().First())
	}
	return trace.Write(a.Out)
}
