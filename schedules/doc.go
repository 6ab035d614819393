// Package schedules holds tests that run whole fleets of entry VMs in fake time under seeded schedules of faults, and
// check the promises of the system in every state. It has no code of its own outside of tests.
package schedules
