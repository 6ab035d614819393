package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network simulates partitions between VMs. A partition holds data back until it is healed, like a network that drops
// every packet: neither side gets an error before its own deadline.
type Network struct {
	mu sync.Mutex // guards all fields below
	// vms maps addresses to the VMs that listen on them.
	vms     map[string]string
	zones   map[string]string
	blocked map[link]bool
	changed chan struct{} // closed and replaced on every change
}

type link struct{ from, to string }

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{
		vms: map[string]string{}, zones: map[string]string{}, blocked: map[link]bool{}, changed: make(chan struct{}),
	}
}

// Register registers the zone of a VM and the addresses on which it listens.
func (n *Network) Register(vm, zone string, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[vm] = zone
	for _, address := range addresses {
		n.vms[address] = vm
	}
}

// PartitionOneWay blocks everything sent from one VM to another; the other direction stays open.
func (n *Network) PartitionOneWay(from, to string) { n.set(true, link{from, to}) }

// Partition blocks everything between two VMs.
func (n *Network) Partition(a, b string) { n.set(true, link{a, b}, link{b, a}) }

// Heal opens both directions between two VMs.
func (n *Network) Heal(a, b string) { n.set(false, link{a, b}, link{b, a}) }

// Isolate blocks everything between a VM and all others.
func (n *Network) Isolate(vm string) {
	n.mu.Lock()
	var links []link
	for other := range n.zones {
		if other != vm {
			links = append(links, link{vm, other}, link{other, vm})
		}
	}
	n.mu.Unlock()
	n.set(true, links...)
}

// PartitionZone blocks everything between the VMs of a zone and all others.
func (n *Network) PartitionZone(zone string) { n.set(true, n.zoneLinks(zone)...) }

// HealZone opens both directions between the VMs of a zone and all others.
func (n *Network) HealZone(zone string) { n.set(false, n.zoneLinks(zone)...) }

// zoneLinks returns the links between the VMs of a zone and all others.
func (n *Network) zoneLinks(zone string) []link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var links []link
	for inside, at := range n.zones {
		if at != zone {
			continue
		}
		for outside, at := range n.zones {
			if at != zone {
				links = append(links, link{inside, outside}, link{outside, inside})
			}
		}
	}
	return links
}

func (n *Network) set(block bool, links ...link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		if block {
			n.blocked[l] = true
		} else {
			delete(n.blocked, l)
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Open reports whether data passes from one VM to another.
func (n *Network) Open(from, to string) bool {
	open, _ := n.state(from, to)
	return open
}

// state returns whether a link is open, and a channel that is closed at the next change.
func (n *Network) state(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.blocked[link{from, to}], n.changed
}

func (n *Network) vmAt(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[address]
}

// Dialer returns a dial function for a VM. Connections to addresses without a known VM are never blocked.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := n.vmAt(address)
		if err := n.handshake(ctx, from, to); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		inner, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newPartitionConn(inner, n, from, to), nil
	}
}

// dialTimeout bounds the set-up of a connection, including the time that a partition holds it back.
const dialTimeout = 2 * time.Second

// handshake waits until both directions are open.
func (n *Network) handshake(ctx context.Context, from, to string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := n.AwaitLink(ctx, from, to); err != nil {
		return err
	}
	return n.AwaitLink(ctx, to, from)
}

// AwaitLink waits until data passes from one VM to another.
func (n *Network) AwaitLink(ctx context.Context, from, to string) error {
	for {
		open, changed := n.state(from, to)
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
