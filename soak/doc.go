// Package soak runs the daemon as separate processes against the emulated platform, injects faults from outside, and
// checks the guarantees from what callers and workers observe. The seed determines the faults and the load of a run. The
// package contains only test code: the product itself starts no processes.
package soak
