// Command siskind is the daemon of an entry VM.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/stdr"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/daemon"
)

func main() { os.Exit(execute()) }

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "siskind",
		Usage: "serve one entry VM of siskinstack",
		Commands: []*cli.Command{{
			Name:   "run",
			Usage:  "serve until a signal arrives",
			Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Required: true, Usage: "settings `FILE`"}},
			Action: run,
		}},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "siskind:", err)
		return 1
	}
	return 0
}

func run(ctx context.Context, command *cli.Command) error {
	text, err := os.ReadFile(command.String("config"))
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	settings := &siskinv1.Settings{}
	if err := protojson.Unmarshal(text, settings); err != nil {
		return eris.Wrap(err, "decode settings")
	}
	return daemon.New(settings, stdr.New(log.Default())).Run(ctx)
}
