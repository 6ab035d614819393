package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/node"
	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/telemetry"
)

const (
	// logFlushTimeout bounds the flush of queued log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
	// dropReportInterval is how often the number of dropped log lines is logged.
	dropReportInterval = 5 * time.Second
)

// keptLines are the lines of each job that are kept while the log drops lines: its first wait, its refusals, its stops and
// its end.
var keptLines = telemetry.JobLines{
	Always: []string{
		"refused", "stop", "succeeded", "failed", "cancelled", "cancellation accepted", "cancelled before it was accepted",
		"job set aside",
	},
	First: []string{"waits"},
}

// serveNode serves the machine that the platform's settings file describes.
func serveNode(ctx context.Context, _ *cli.Command) error {
	sink := telemetry.NewLogSink(os.Stdout)
	defer sink.Close(logFlushTimeout)
	log := telemetry.NewLogger(sink)
	path := os.Getenv(platform.SettingsVariable)
	settings, addresses, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if settings.Scheduling.JobLog {
		sink.KeepJobs(keptLines)
		go reportDropsByMachine(ctx, log.WithValues("machine", settings.Machine), sink)
	} else {
		go reportDrops(ctx, log, sink)
	}
	go validateOnSIGHUP(ctx, log, path)
	return node.New(settings, platform.Connect(settings, addresses), log).Run(ctx)
}

func reportDrops(ctx context.Context, log logr.Logger, sink *telemetry.LogSink) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sink.ReportDropped(func(dropped map[string]int64, _ int64) { log.Info(telemetry.DropMessage, "lines", dropped) })
		}
	}
}

// reportDropsByMachine logs what siskinctl trace needs to tell which lines of a job may be missing: the machine, the time
// that a record covers, and how many of the dropped lines were to be kept.
func reportDropsByMachine(ctx context.Context, log logr.Logger, sink *telemetry.LogSink) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	covered := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			covered += dropReportInterval
			written := sink.ReportDropped(func(dropped map[string]int64, keptLost int64) {
				log.Info(telemetry.DropMessage, "lines", dropped, "interval_ms", covered.Milliseconds(), "kept_lost", keptLost)
			})
			if written {
				covered = 0
			}
		}
	}
}

// validateOnSIGHUP checks the changed settings file on each SIGHUP. The changes apply from the next start.
func validateOnSIGHUP(ctx context.Context, log logr.Logger, path string) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if _, _, err := platform.ReadSettings(path); err != nil {
				log.Error(err, "changed settings are invalid; keeping the current settings")
				continue
			}
			log.Info("changed settings are valid; they apply from the next start")
		}
	}
}
