// Package sitetest proves the promises of docs/design.md under failures. Its tests start a whole site in one process,
// a stand-in platform and six entry VMs in three zones that talk over loopback sockets, work it with requests and work
// of every kind, order failures, heal them, and check all promises from the records of callers, workers and endpoints.
// docs/failures.md lists the cases.
package sitetest
