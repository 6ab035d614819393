// Package sitetest tests the guarantees of docs/design.md under failures. Each test starts a whole site in one process:
// a stand-in platform and six entry VMs in three zones, connected over loopback sockets. It loads the site with requests
// and work of every kind, injects failures, removes them, and checks all guarantees from the records of callers, workers
// and endpoints. docs/failures.md lists the cases.
package sitetest
