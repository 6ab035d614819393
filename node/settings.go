// Package node assembles the process of one machine: it watches the configuration, accepts jobs, and acts as the
// controller while it is elected.
package node

import (
	"net"
	"time"

	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/jsoncheck"
)

// Settings are the settings of one machine. The platform adapter reads them.
type Settings struct {
	Machine string
	Zone    string
	// Frontend, Readiness and Peers are listening addresses.
	Frontend  string
	Readiness string
	Peers     string
	// Metrics is the listening address of the metrics; empty serves none.
	Metrics string
	// Cores is the number of cores that the machine may use, and LinkMbps the speed of its network link; 0 if unknown.
	Cores    float64
	LinkMbps float64
	// MemoryBytes is the memory of the machine; 0 if unknown.
	MemoryBytes int64
	Store       StoreSettings
	Bounds      Bounds
	Scheduling  Scheduling
}

// Scheduling switches on the decisions under heavy load. The zero value switches all of them off.
type Scheduling struct {
	// Features are the decisions of the controller.
	Features dispatch.Features
	// AdmissionForecast refuses work that would start too late for its result to be of use.
	AdmissionForecast bool
	// JobLog keeps the log lines of a sample of jobs whole when there are more lines than the log takes.
	JobLog bool
	// RefuseWhenCutOff refuses work at once while the machine reaches neither the store nor the controller.
	RefuseWhenCutOff bool
}

// StoreSettings are the settings for the platform's store.
type StoreSettings struct {
	Address string
	// MinTTL is the shortest time to live of a lease.
	MinTTL time.Duration
}

// Bounds are the deployment's guarantees and the platform's limits.
type Bounds struct {
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// Revocation is the longest time that a key is accepted after it was revoked.
	Revocation time.Duration
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// MinHolderInterval is the least time between orders of two controllers for one machine of the platform.
	MinHolderInterval time.Duration
	// MaintenanceTime is how long the maintenance of a machine takes.
	MaintenanceTime time.Duration
	// StatusKept is how long the state of an ended job is retained.
	StatusKept time.Duration
}

const (
	// coreAcquireDelay and linkAcquireDelay add up to the wait before a machine with one core and a link of one Mbit/s
	// acquires a free leadership. Stronger machines wait less; the difference exceeds the time of a store write.
	coreAcquireDelay = 40 * time.Millisecond
	linkAcquireDelay = 400 * time.Millisecond
	// maxAcquireDelay bounds the time without a controller if only weak machines remain.
	maxAcquireDelay = 300 * time.Millisecond
	// earlyTakeoverMaxDelay is the longest acquire delay with which a machine may replace a controller before its lease has
	// expired. Machines with a fast link and 0.3 cores or more at their usual speed are below it. Weaker ones wait for the
	// lease: processes that were killed together with the controller are running again after half a second.
	earlyTakeoverMaxDelay = maxAcquireDelay / 2
)

// acquireDelay returns how long the machine waits before it acquires a free leadership; speed is relative to its usual
// speed.
func (s Settings) acquireDelay(speed float64) time.Duration {
	if s.Cores <= 0 || s.LinkMbps <= 0 {
		return maxAcquireDelay
	}
	wait := float64(coreAcquireDelay)/(s.Cores*speed) + float64(linkAcquireDelay)/s.LinkMbps
	return min(time.Duration(wait), maxAcquireDelay)
}

// Check returns an error that lists all invalid settings, or nil.
func (s Settings) Check() error {
	findings := &jsoncheck.Findings{}
	for _, address := range []struct{ path, value string }{
		{"listen.frontend", s.Frontend}, {"listen.readiness", s.Readiness}, {"peers", s.Peers}, {"store.address", s.Store.Address},
	} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			findings.Add("$."+address.path, "%.70q is not an address with a port", address.value)
		}
	}
	for _, duration := range []struct {
		path  string
		value time.Duration
	}{
		{"grace", s.Bounds.Grace}, {"revocation", s.Bounds.Revocation}, {"lease_max", s.Bounds.LeaseMax},
		{"status_kept", s.Bounds.StatusKept},
	} {
		if duration.value <= 0 {
			findings.Add("$.bounds."+duration.path, "is missing or not positive")
		}
	}
	if s.Machine == "" {
		findings.Add("$.machine", "is missing")
	}
	if s.Zone == "" {
		findings.Add("$.zone", "is missing")
	}
	return findings.Err()
}
