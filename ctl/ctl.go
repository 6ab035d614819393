// Package ctl implements the commands of siskinctl, the command-line tool of team members and operators.
package ctl

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/apiclient"
)

// Exit codes of siskinctl.
const (
	ExitOK = 0
	// ExitFailure is a failed call, or a call whose outcome is unknown.
	ExitFailure = 1
	// ExitUsage is a bad command line, or findings in a file.
	ExitUsage = 2
	// ExitNotRun is a refusal that states that nothing has run.
	ExitNotRun = 3
	// ExitRefused is any other refusal.
	ExitRefused = 4
)

const exitCodesHelp = `Exit codes:
   0  done
   1  failed: a call failed or its outcome is unknown
   2  bad command line, or findings in a file
   3  refused, and nothing has run
   4  refused, and something may have run`

const defaultTimeout = 10 * time.Second

// errUsage marks a bad command line or findings in a file.
var errUsage = eris.New("bad usage")

// usageError describes a bad command line or the findings in a file.
type usageError struct{ text string }

// Error returns the description.
func (e *usageError) Error() string { return e.text }

// Unwrap returns errUsage, which selects ExitUsage.
func (e *usageError) Unwrap() error { return errUsage }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// actionError is an error of a command whose action has started; all other errors concern the command line.
type actionError struct{ cause error }

// Error returns the text of the cause.
func (e *actionError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *actionError) Unwrap() error { return e.cause }

// App is the command-line application with its outputs.
type App struct {
	Out io.Writer
	Err io.Writer
	// parseOnly makes every command return after its command line has been checked.
	parseOnly bool
}

// Execute runs the command line and returns the exit code.
func (a *App) Execute(ctx context.Context, args []string) int {
	err := a.command().Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(a.Err, "siskinctl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var started *actionError
	if !errors.As(err, &started) || errors.Is(err, errUsage) {
		return ExitUsage
	}
	var refused *apiclient.Refusal
	if !errors.As(err, &refused) {
		return ExitFailure
	}
	if refused.NotRun {
		return ExitNotRun
	}
	return ExitRefused
}

func (a *App) command() *cli.Command {
	root := a.group("siskinctl", "submit work, send requests and operate siskinstack",
		a.workCommands(), a.requestCommands(), a.teamCommands(), a.keyCommands(), a.bundleCommands(),
		a.operatorCommands(), a.zoneCommands(), a.vmCommands(), a.demoCommand(), a.capacityCommand(), a.platformCommand(), a.traceCommand())
	root.Description = exitCodesHelp
	root.Flags = globalFlags()
	root.Writer = a.Out
	root.ErrWriter = a.Err
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	return root
}

const (
	flagServer  = "server"
	flagKey     = "key"
	flagOutput  = "output"
	flagTimeout = "timeout"
	flagCA      = "ca"

	outputTable = "table"
	outputJSON  = "json"
)

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: flagServer, Sources: cli.EnvVars("SISKIN_SERVER"),
			Usage: "`IP:PORT` of an entry VM; several are tried in turn if a call did not run or may be repeated",
		},
		&cli.StringFlag{
			Name: flagKey, Sources: cli.EnvVars("SISKIN_KEY"), HideDefault: true,
			Usage: "team or operator `KEY`; prefer the environment, which other users cannot see",
		},
		&cli.StringFlag{
			Name: flagCA, Sources: cli.EnvVars("SISKIN_CA"),
			Usage: "PEM `FILE` that verifies servers named as https://IP:PORT; default: the system's certificates",
		},
		&cli.StringFlag{
			Name: flagOutput, Value: outputTable, Usage: "`FORMAT` of the output: table or json",
			Validator: func(value string) error {
				if value != outputTable && value != outputJSON {
					return eris.Errorf("output %q is neither table nor json", value)
				}
				return nil
			},
		},
		&cli.DurationFlag{
			Name: flagTimeout, Value: defaultTimeout, Usage: "longest `TIME` of one call",
			Validator: func(value time.Duration) error {
				if value <= 0 {
					return eris.New("timeout is not above zero")
				}
				return nil
			},
		},
	}
}

// group returns a command that consists of subcommands.
func (a *App) group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Commands: commands, OnUsageError: returnUsageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown command %q of %s; see --help", cmd.Args().First(), cmd.FullName())
			}
			_ = cli.ShowSubcommandHelp(cmd)
			return usagef("%s needs a subcommand", cmd.FullName())
		},
	}
}

// returnUsageError returns the error as it is, which keeps the library from printing the whole help for a bad flag.
func returnUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }

// leaf describes a command without subcommands.
type leaf struct {
	name, usage, example string
	// args names the positional arguments; all are required. more names further ones, of which there may be any number;
	// none are allowed if it is empty.
	args  []string
	more  string
	flags []cli.Flag
	run   func(ctx context.Context, cmd *cli.Command) error
}

func (a *App) leaf(l leaf) *cli.Command {
	usage := ""
	for _, arg := range l.args {
		usage += arg + " "
	}
	if l.more != "" {
		usage += "[" + l.more + "...] "
	}
	return &cli.Command{
		Name: l.name, Usage: l.usage, ArgsUsage: usage, Flags: l.flags, OnUsageError: returnUsageError,
		Description: "Example:\n   " + l.example + "\n\n" + exitCodesHelp,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if given := cmd.Args().Len(); given < len(l.args) || given > len(l.args) && l.more == "" {
				return usagef("%s needs %d arguments (%s), not %d", cmd.FullName(), len(l.args), usage, cmd.Args().Len())
			}
			if a.parseOnly {
				return nil
			}
			if err := l.run(ctx, cmd); err != nil {
				return &actionError{err}
			}
			return nil
		},
	}
}

// client returns a client for the servers named on the command line.
func client(cmd *cli.Command) (*apiclient.Client, error) {
	servers := cmd.StringSlice(flagServer)
	if len(servers) == 0 {
		return nil, usagef("no entry VM given; set --server or SISKIN_SERVER")
	}
	roots, err := authorities(cmd.String(flagCA))
	if err != nil {
		return nil, err
	}
	c, err := apiclient.New(apiclient.Options{
		Servers: servers, Key: cmd.String(flagKey), Transport: apiclient.NewTransport(roots),
	})
	if err != nil {
		return nil, usagef("%v", err)
	}
	return c, nil
}

// authorities reads the CA certificates that verify servers; nil selects the system's certificates.
func authorities(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("read certificates: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, usagef("%s contains no PEM certificate", path)
	}
	return roots, nil
}

// callOnce makes one call within the timeout and prints its result.
func callOnce[T any](
	a *App, ctx context.Context, cmd *cli.Command,
	call func(context.Context, *apiclient.Client) (T, error), show func(T) (result, error),
) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	value, err := call(ctx, c)
	if err != nil {
		return err
	}
	output, err := show(value)
	if err != nil {
		return err
	}
	return a.print(cmd, output)
}
