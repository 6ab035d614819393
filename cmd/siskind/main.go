// Command siskind is the daemon of an entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/stdr"
	"github.com/urfave/cli/v3"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/daemon"
	"siskinstack.example/siskinstack/jsoncheck"
	"siskinstack.example/siskinstack/settings"
)

// Exit statuses.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() { os.Exit(executeUntilSignal()) }

func executeUntilSignal() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return execute(ctx, os.Args, os.Stdout, os.Stderr)
}

func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	configFlags := func() []cli.Flag {
		return []cli.Flag{&cli.StringFlag{Name: "config", Required: true, Usage: "settings `FILE`"}}
	}
	command := &cli.Command{
		Name:      "siskind",
		Usage:     "serve one entry VM of siskinstack",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until a signal arrives", Flags: configFlags(), Action: run},
			{Name: "node", Usage: "serve one machine of the platform until a signal arrives", Action: serveNode},
			{Name: "validate", Usage: "report all findings about the settings", Flags: configFlags(), Action: validate},
		},
	}
	err := command.Run(ctx, args)
	var invalid *jsoncheck.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &invalid):
		for _, line := range invalid.Findings.Lines() {
			_, _ = fmt.Fprintln(stderr, line)
		}
		return exitInvalidSettings
	default:
		_, _ = fmt.Fprintln(stderr, "siskind:", err)
		return exitFailed
	}
}

// loadSettings reads the settings file that the command line names. Findings are returned as a jsoncheck.Error.
func loadSettings(command *cli.Command) (*siskinv1.Settings, error) {
	loaded, findings, err := settings.Load(command.String("config"))
	if err != nil {
		return nil, err
	}
	return loaded, findings.Err()
}

func validate(_ context.Context, command *cli.Command) error {
	loaded, err := loadSettings(command)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.Root().Writer, "settings of %s are valid\n", loaded.GetVm())
	return err
}

func run(ctx context.Context, command *cli.Command) error {
	loaded, err := loadSettings(command)
	if err != nil {
		return err
	}
	return daemon.New(loaded, stdr.New(log.Default())).Run(ctx)
}
