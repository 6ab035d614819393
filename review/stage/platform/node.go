package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// node is one process of the project.
type node struct {
	stage     *stage
	index     int
	name      string
	zone      string
	frontend  string
	readiness string
	peers     string
	settings  string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// freePorts returns the first of two ports in a row that nothing uses.
func freePorts() int {
	for port := 20_000 + os.Getpid()*37%11_000; port < 32_000; port += 2 {
		if isFree(port) && isFree(port+1) && !taken[port] {
			taken[port] = true
			return port
		}
	}
	fatal("no free ports")
	return 0
}

var taken = map[int]bool{}

func isFree(port int) bool {
	listener, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(port))
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

const settingsText = `nodeName = %q
role = "siskind"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "region"
internalPorts = [%d, %d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
advisor = "127.0.0.1:9"
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
drainMs = 2000
graceS = 6
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
evacuateMs = 5000
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpointS = 1
restoreMs = 100
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseMs = 3000
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
dutyPerS = 60.0
`

func (s *stage) newNode(index int, zone string) *node {
	n := &node{stage: s, index: index, name: "edge-" + zone, zone: zone}
	at := func(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }
	front, peers := freePorts(), freePorts()
	n.frontend, n.readiness, n.peers = at(front), at(front+1), at(peers)
	n.settings = filepath.Join(s.dir, n.name+".toml")
	text := fmt.Sprintf(settingsText, n.name, zone, peers, peers+1, n.frontend, n.readiness, s.storeAddress[index], s.cloudAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fatal("settings: %v", err)
	}
	return n
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(n.stage.command[0], n.stage.command[1:]...)
	command.Env = append(os.Environ(), "SISKINSTACK_NODE_FILE="+n.settings)
	command.Stdout, command.Stderr = log, log
	ended := make(chan struct{})
	n.mu.Lock()
	// A process is started under the lock, so that the end of the stage finds it.
	if n.stage.closing.Load() {
		n.mu.Unlock()
		return
	}
	if err := command.Start(); err != nil {
		n.mu.Unlock()
		fatal("start %s: %v", n.name, err)
	}
	n.process, n.ended = command, ended
	n.mu.Unlock()
	n.stage.record("start", "node", n.name, "pid", command.Process.Pid)
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	n.stage.record("kill", "node", n.name)
}

func (n *node) awaitEnd() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/siskinstack/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// link is a proxy in front of a node's port for other nodes.
type link struct {
	address, target string
	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]struct{}
}

func newLink(target string) *link {
	l := &link{target: target, conns: map[net.Conn]struct{}{}}
	l.open()
	return l
}

// open accepts connections.
func (l *link) open() {
	listener := listenOn(l.address)
	l.mu.Lock()
	l.address, l.listener = listener.Addr().String(), listener
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
}

// refuse resets all connections and refuses new ones.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (l *link) serve(conn net.Conn) {
	peer, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	}
	l.mu.Lock()
	l.conns[conn], l.conns[peer] = struct{}{}, struct{}{}
	l.mu.Unlock()
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
		_ = from.Close()
	}
	go pipe(peer, conn)
	pipe(conn, peer)
	l.mu.Lock()
	delete(l.conns, conn)
	delete(l.conns, peer)
	l.mu.Unlock()
}

// deployCommand returns the command of the deploy file.
func deployCommand() []string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		fatal("deploy file: %v", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(text, `"`))
		}
	}
	fatal("the deploy file has no command")
	return nil
}
