// Package schedules tests whole fleets of entry VMs in fake time under seeded schedules of faults and checks the
// system's guarantees in every state. It contains only tests.
package schedules
