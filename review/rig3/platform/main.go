// Command rig3 runs one case of the third review: processes of the system beside a small platform of its own. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case and reports whether the rule was broken. With trouble false, it leaves the disruption out.
type scenario func(ctx context.Context, r *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"gang": playGang,
	"flap": playFlap,
	"wave": playWave,
}

func main() { os.Exit(execute()) }

func execute() int {
	const arguments = 3
	if len(os.Args) != arguments || scenarios[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: rig3 SCENARIO RECORD")
		return exitFailed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("begin, trouble %v", trouble)
	broken, err := scenarios[os.Args[1]](ctx, r, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		r.line("the rule is broken")
		return exitBroken
	}
	r.line("the rule holds")
	return exitHeld
}
