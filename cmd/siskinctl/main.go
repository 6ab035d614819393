// Command siskinctl is the command-line client for members and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"siskinstack.example/siskinstack/ctl"
)

func main() { os.Exit(execute()) }

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &ctl.App{Out: os.Stdout, Err: os.Stderr}
	return app.Execute(ctx, os.Args)
}
