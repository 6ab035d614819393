// Package node assembles the process of one machine: it follows the configuration, accepts jobs, and acts as the
// controller when it is elected.
package node

import (
	"net"
	"time"

	"siskinstack.example/siskinstack/jsoncheck"
)

// Settings are those of one machine. They are read by the adapter to the platform.
type Settings struct {
	Machine string
	Zone    string
	// Frontend, Readiness and Peers are listening addresses.
	Frontend  string
	Readiness string
	Peers     string
	// Metrics is the listening address of the metrics; empty serves none.
	Metrics string
	// Cores is what the machine may use of its processors, and LinkMbps the speed of its link; 0 if not known.
	Cores    float64
	LinkMbps float64
	// MemoryBytes is the memory of the machine, 0 if it is not known.
	MemoryBytes int64
	Store       StoreSettings
	Bounds      Bounds
}

// StoreSettings are those of the platform's store.
type StoreSettings struct {
	Address string
	// MinTTL is the shortest time to live of a lease.
	MinTTL time.Duration
}

// Bounds are the deployment's promises and the platform's limits.
type Bounds struct {
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// Revocation is the longest time that a key works after it was taken away.
	Revocation time.Duration
	// LeaseMax is the longest lease of a worker.
	LeaseMax time.Duration
	// MinHolderInterval is the least time between orders of two controllers for one machine of the platform.
	MinHolderInterval time.Duration
	// MaintenanceTime is how long the maintenance of a machine takes.
	MaintenanceTime time.Duration
	// StatusKept is how long the state of an ended job can be asked for.
	StatusKept time.Duration
}

const (
	// coreDeference and linkDeference are how long a machine with one core, or with a link of one Mbit/s, leaves a free
	// leadership to stronger machines. The spread between unequal machines exceeds the time of a write to the store.
	coreDeference = 40 * time.Millisecond
	linkDeference = 400 * time.Millisecond
	// maxDeference bounds the time without a controller if only weak machines are left.
	maxDeference = 300 * time.Millisecond
	// fitDeference is the longest deference of a machine that replaces a controller before its lease has ended: that of a
	// machine with three tenths of a core or more at its usual speed. Processes that were killed with the controller are
	// back after half a second.
	fitDeference = maxDeference / 2
)

// deference returns how long the machine leaves a free leadership to others, at a part of its usual speed.
func (s Settings) deference(speed float64) time.Duration {
	if s.Cores <= 0 || s.LinkMbps <= 0 {
		return maxDeference
	}
	wait := float64(coreDeference)/(s.Cores*speed) + float64(linkDeference)/s.LinkMbps
	return min(time.Duration(wait), maxDeference)
}

// Check returns all findings about the settings.
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
