package capacity_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/daemon"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/server"
	"siskinstack.example/siskinstack/standin/site"
)

// countingProxy starts a proxy that counts the bytes of all connections to an address and returns the proxy's address.
func countingProxy(b *testing.B, to string, wire *traffic) string {
	listener := meteredListener{listen(b), wire}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go forward(conn, to)
		}
	}()
	return listener.Addr().String()
}

func forward(conn net.Conn, to string) {
	defer func() { _ = conn.Close() }()
	other, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	go func() {
		_, _ = io.Copy(other, conn)
		_ = other.Close()
	}()
	_, _ = io.Copy(conn, other)
}

// BenchmarkIdleSite measures six entry VMs without work by the number of workers: bytes between an entry VM and the
// platform, bytes between it and its peers, and the processor time of all entry VMs and the platform.
func BenchmarkIdleSite(b *testing.B) {
	for _, workers := range []int{50, 500, 2000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				measureIdleSite(b, workers)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureIdleSite(b *testing.B, workers int) {
	chosen := site.Jadeleaf()
	chosen.Workers, chosen.ZoneDelay = workers, 0
	running, err := server.Start(server.Options{
		Site: chosen, Clock: clock.Real{}, Plan: standin.CommandPlan, RequestDuration: func(string, []byte) time.Duration { return 0 },
	})
	assert.NilError(b, err)
	defer running.Close()
	listens, err := chosen.Addresses(0)
	assert.NilError(b, err)
	var platformWire, peerWire traffic
	all := chosen.Settings(listens, nil, running.URLFor)
	ctx, cancel := context.WithCancel(b.Context())
	var vms sync.WaitGroup
	for _, settings := range all {
		address := strings.TrimPrefix(running.URL, "http://")
		settings.Platform.Url = "http://" + countingProxy(b, address, &platformWire) + "/from/" + settings.GetVm()
	}
	peers := all[0].GetPeers()
	for _, p := range peers {
		p.Address = countingProxy(b, p.GetAddress(), &peerWire)
	}
	before := heap()
	for _, settings := range all {
		vms.Go(func() { _ = daemon.New(settings, logr.Discard()).Run(ctx) })
	}
	time.Sleep(steadyTime)
	n := float64(len(all))
	in, out, peerIn, peerOut := platformWire.in.Load(), platformWire.out.Load(), peerWire.in.Load(), peerWire.out.Load()
	processor, began := processorTime(), time.Now()
	time.Sleep(steadyTime)
	seconds := time.Since(began).Seconds() * n
	used := (processorTime() - processor).Seconds()
	b.ReportMetric(float64(platformWire.out.Load()-out)/seconds, "from-platform-B/s/VM")
	b.ReportMetric(float64(platformWire.in.Load()-in)/seconds, "to-platform-B/s/VM")
	b.ReportMetric(float64(peerWire.in.Load()-peerIn)/seconds, "from-peers-B/s/VM")
	b.ReportMetric(float64(peerWire.out.Load()-peerOut)/seconds, "to-peers-B/s/VM")
	b.ReportMetric(1e3*used/seconds, "mcore/VM-with-platform")
	b.ReportMetric((heap()-before)/n, "heap-B/VM-with-platform")
	cancel()
	vms.Wait()
}
