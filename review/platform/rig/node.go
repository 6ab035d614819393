package rig

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Node is one machine of the system: a process of `target/siskind node`.
type Node struct {
	Name, Zone          string
	Frontend, readiness string

	site     *Site
	settings string

	mu      sync.Mutex // guards the fields below
	process *os.Process
	ended   chan struct{}
}

// portsPerNode is the number of ports of a node, nodesPerSite the usual number of nodes.
const portsPerNode, nodesPerSite = 18, 3

// freePorts returns the first of portsPerNode ports on which nothing listens. They are below the ports that the kernel
// gives to other listeners. Scripts that run at the same time begin at different ones.
func freePorts() (int, error) {
	const first, sites = 21_000, 180
	const ports = sites * nodesPerSite * portsPerNode
	begin := os.Getpid() % sites * nodesPerSite * portsPerNode
	for offset := 0; offset < ports; offset += portsPerNode {
		if base := first + (begin+offset)%ports; portsAreFree(base, portsPerNode) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

var portMutex sync.Mutex

var portsTaken = map[int]bool{}

func portsAreFree(base, n int) bool {
	portMutex.Lock()
	defer portMutex.Unlock()
	for port := base; port < base+n; port++ {
		if portsTaken[port] {
			return false
		}
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	for port := base; port < base+n; port++ {
		portsTaken[port] = true
	}
	return true
}

// AddNode writes the settings of a node and starts its process.
func (s *Site) AddNode(name, zone string) (*Node, error) {
	base, err := freePorts()
	if err != nil {
		return nil, err
	}
	n := &Node{
		Name: name, Zone: zone, Frontend: fmt.Sprintf("127.0.0.1:%d", base), readiness: fmt.Sprintf("127.0.0.1:%d", base+1),
		site: s, settings: s.path(name + ".toml"),
	}
	text := fmt.Sprintf(settingsText, name, zone, base+2, base+portsPerNode-1, s.AdvisorAddress, n.Frontend, n.readiness, s.Store.Address, s.MachinesAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.Nodes = append(s.Nodes, n)
	return n, n.Start()
}

// settingsText holds the settings that the platform writes, with the bounds of jadeleaf-scan.
const settingsText = `nodeName = %q
role = "siskind"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "taichung"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
orders = "call"
advisor = %q
[zones]
taichung-a = "taichung"
taichung-b = "taichung"
taichung-c = "taichung"
[listen]
frontend = %q
readiness = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
evacuateMs = 5000
recoverS = 12
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointS = 1
restoreMs = 100
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseMs = 3000
thawMs = 300
paceMs = 100
impactMs = 4000
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloud]
address = %q
ratePerS = 60.0
duties = []
dutyPerS = 60.0
`

// Start starts the node's process as the deploy file says.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/siskind", "node")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SISKINSTACK_NODE_FILE=" + n.settings,
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended = command.Process, ended
	n.mu.Unlock()
	n.site.Record("node %s starts, process %d", n.Name, command.Process.Pid)
	go func() {
		_ = command.Wait() // The exit status of a killed process does not matter.
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.site.Record("node %s gets the signal %s", n.Name, s)
	// Signalling a process that has ended fails, which is fine.
	_ = n.process.Signal(s)
}

// Kill kills the node's process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	process, ended := n.process, n.ended
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Kill()
	<-ended
}

// Log returns what the node's processes wrote.
func (n *Node) Log() []byte {
	data, err := os.ReadFile(n.settings + ".log")
	if err != nil {
		return nil
	}
	return data
}

func (n *Node) ready() bool {
	status, err := get("http://"+n.readiness+"/siskinstack/readyz", time.Second)
	return err == nil && status == http.StatusOK
}

// Leader returns the node that the store names as the one that acts, or nil. Only the choice of the process to kill
// depends on it; the platform picks the machine that last wrote to the store under a condition.
func (s *Site) Leader() *Node {
	value := s.Store.Value("lead/owner")
	for _, n := range s.Nodes {
		if len(value) > 0 && bytes.Contains(value, []byte(n.Name)) {
			return n
		}
	}
	return nil
}
