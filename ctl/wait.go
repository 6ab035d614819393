package ctl

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/apiclient"
)

const (
	flagWait      = "wait"
	flagWaitLimit = "wait-limit"

	defaultWaitLimit = 30 * time.Minute
	// waitInterval limits a waiting command to less than five reads a second.
	waitInterval = 250 * time.Millisecond
)

func waitFlags(usage string) []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagWait, Usage: usage},
		&cli.DurationFlag{Name: flagWaitLimit, Value: defaultWaitLimit, Usage: "longest `TIME` of --wait"},
	}
}

// poll calls check until it reports done, with progress on the error output. Temporary failures are shown and retried,
// because the calls are reads; other errors end the wait.
func (a *App) poll(ctx context.Context, cmd *cli.Command, check func(context.Context, *progressPrinter) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWaitLimit))
	defer cancel()
	progress := &progressPrinter{app: a}
	for {
		call, cancelCall := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		done, err := check(call, progress)
		cancelCall()
		switch {
		case err == nil && done:
			return nil
		case err != nil && !isTemporary(err):
			return err
		case err != nil:
			progress.show("still waiting: %v", err)
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait ended early")
		case <-time.After(waitInterval):
		}
	}
}

// isTemporary reports whether the same read may succeed later.
func isTemporary(err error) bool {
	var refused *apiclient.Refusal
	if errors.As(err, &refused) {
		return refused.Temporary()
	}
	var transport *apiclient.TransportError
	return errors.As(err, &transport)
}
