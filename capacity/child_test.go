package capacity_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/server"
)

// standinVariable makes the test binary serve a stand-in platform with the given number of workers. A separate process
// keeps the platform's processor time out of the measurement.
const standinVariable = "SISKIN_CAPACITY_WORKERS"

func TestMain(m *testing.M) {
	if text := os.Getenv(standinVariable); text != "" {
		workers, _ := strconv.Atoi(text)
		serveStandin(workers)
		return
	}
	os.Exit(m.Run())
}

const (
	benchZone = "zone-1"
	gib       = 1 << 30
)

// workersOf returns the given number of workers of a zone.
func workersOf(zone string, workers int) []infra.VM {
	vms := make([]infra.VM, workers)
	for i := range vms {
		vms[i] = infra.VM{
			Name: fmt.Sprintf("%s-worker-%d", zone, i), Role: infra.RoleWorker, Zone: zone,
			Rack: fmt.Sprintf("%s-rack-%d", zone, i/8), Address: "10.0.0.1:7000",
			Capacity: resource.Vector{MilliCPU: 64_000, MemoryBytes: 128 * gib},
		}
	}
	return vms
}

// serveStandin serves a stand-in platform until its standard input is closed.
func serveStandin(workers int) {
	vms := workersOf(benchZone, workers)
	handler := server.New(standin.NewStore(clock.Real{}), standin.NewVMList(clock.Real{}, 0, vms),
		standin.NewWorkers(clock.Real{}, vms, standin.CommandPlan))
	listener := listen(&testing.T{})
	fmt.Println(listener.Addr())
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(listener) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
	_ = s.Close()
}

// startStandin starts a stand-in platform in a separate process and returns its URL.
func startStandin(t testing.TB, workers int) string {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", standinVariable, workers))
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	assert.NilError(t, err)
	output, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	assert.NilError(t, err)
	return "http://" + strings.TrimSpace(address)
}
