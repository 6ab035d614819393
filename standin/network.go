package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network holds cuts between VMs. A cut holds data back until it is healed, as a network does that loses every packet:
// neither side gets an error before its own deadline.
type Network struct {
	mu      sync.Mutex // guards all fields below
	names   map[string]string
	zones   map[string]string
	cuts    map[link]bool
	changed chan struct{} // closed and replaced on every change
}

type link struct{ from, to string }

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{
		names: map[string]string{}, zones: map[string]string{}, cuts: map[link]bool{}, changed: make(chan struct{}),
	}
}

// Place tells the network the zone of a VM and the addresses on which it listens.
func (n *Network) Place(vm, zone string, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[vm] = zone
	for _, address := range addresses {
		n.names[address] = vm
	}
}

// PartitionOneWay loses everything sent from one VM to another; the other way stays open.
func (n *Network) PartitionOneWay(from, to string) { n.set(true, link{from, to}) }

// Partition loses everything between two VMs.
func (n *Network) Partition(a, b string) { n.set(true, link{a, b}, link{b, a}) }

// Heal opens both ways between two VMs.
func (n *Network) Heal(a, b string) { n.set(false, link{a, b}, link{b, a}) }

// Isolate loses everything between a VM and all others.
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

// PartitionZone loses everything between the VMs of a zone and all others.
func (n *Network) PartitionZone(zone string) { n.set(true, n.border(zone)...) }

// HealZone opens every way between the VMs of a zone and all others.
func (n *Network) HealZone(zone string) { n.set(false, n.border(zone)...) }

// border returns the links that cross the border of a zone.
func (n *Network) border(zone string) []link {
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

func (n *Network) set(cut bool, links ...link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		if cut {
			n.cuts[l] = true
		} else {
			delete(n.cuts, l)
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
	return !n.cuts[link{from, to}], n.changed
}

func (n *Network) name(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[address]
}

// Dialer returns a dial function for a VM. Connections to addresses without a known VM are never cut.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := n.name(address)
		if err := n.handshake(ctx, from, to); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		inner, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCutConn(inner, n, from, to), nil
	}
}

// dialTimeout bounds the set-up of a connection, cuts included.
const dialTimeout = 2 * time.Second

// handshake waits until both ways are open.
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
