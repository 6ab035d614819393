// Command cases runs one of the review's scripts. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"siskinstack.example/siskinstack/review/platform/rig"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// timeLimit is how long a script may run.
	timeLimit = 115 * time.Second
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	what   string
}

// scenario plays a case on a site. Without trouble it leaves out the disruption.
type scenario func(s *rig.Site, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"ends":      ends,
	"trial":     trial,
	"cancelled": cancelled,
	"crashes":   crashes,
}

func main() {
	const arguments = 3
	if len(os.Args) != arguments || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(run scenario, recordPath string) int {
	site, err := rig.NewSite()
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	defer site.Close()
	endBy(site, timeLimit)
	trouble := os.Getenv("TROUBLE") != "0"
	site.Record("trouble: %v", trouble)
	result, err := run(site, trouble)
	code := exitHeld
	switch {
	case err != nil:
		site.Record("could not run: %v", err)
		code = exitFailed
	case result.broken:
		site.Record("BROKEN: %s", result.what)
		code = exitBroken
	default:
		site.Record("held: %s", result.what)
	}
	fmt.Println(map[int]string{exitHeld: "held:", exitBroken: "broken:", exitFailed: "could not run:"}[code], result.what, err)
	if err := site.WriteRecord(recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if directory := os.Getenv("KEEP_LOGS"); directory != "" {
		for _, n := range site.Nodes {
			_ = os.WriteFile(directory+"/"+n.Name+".log", n.Log(), 0o600)
		}
	}
	return code
}

// endBy ends all processes of a site when this process is told to end, or after a time limit.
func endBy(site *rig.Site, limit time.Duration) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-told:
		case <-time.After(limit):
		}
		site.Close()
		os.Exit(exitFailed)
	}()
}

// deploy starts runners and three nodes, one in each zone, and waits until they serve.
func deploy(s *rig.Site, runners int) error {
	zones := []string{"taichung-a", "taichung-b", "taichung-c"}
	s.Configure(1, maxAttempts)
	for i := range runners {
		if _, err := s.AddRunner(fmt.Sprintf("i-%04d", i), zones[i%len(zones)], plainLabels(i), runnerCPU, runnerMemMB); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		if _, err := s.AddNode(fmt.Sprintf("edge-%s-%d", zone, i), zone); err != nil {
			return err
		}
	}
	return s.AwaitReady(readyLimit)
}
