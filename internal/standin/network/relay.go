// Package network stands in for the links between failure domains: a TCP relay that delays, cuts and silences
// connections between processes on loopback. The source of a connection is told by its IP address.
package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link describes one direction of a pair of addresses at one moment.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Silent holds back all bytes while it is set, as a path that lost its state does.
	Silent bool
	// Refused closes new connections at once.
	Refused bool
}

// Rule returns the link from a source to a destination, by the IP addresses of the two hosts.
type Rule func(source, destination netip.Addr) Link

// Relay forwards connections from listeners to targets.
type Relay struct {
	mu        sync.Mutex
	rule      Rule
	listeners []net.Listener
	pairs     map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	source, destination netip.Addr
	client, server      net.Conn
	// poisoned stays set on connections that were open when Silence was called.
	poisoned bool
}

// New returns a relay that follows the rule, which may be replaced while it runs.
func New(rule Rule) *Relay {
	return &Relay{rule: rule, pairs: map[*pair]struct{}{}}
}

// SetRule replaces the rule for bytes that arrive from now on.
func (r *Relay) SetRule(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
}

// Silence makes every open connection silent for good, while new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.poisoned = true
	}
}

// Break closes every open connection for which match is true.
func (r *Relay) Break(match func(source, destination netip.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		if match(p.source, p.destination) {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	}
}

// Listen relays connections that arrive at address to target. A source that is valid stands for the source of every
// connection; otherwise the IP address that a connection comes from does.
func (r *Relay) Listen(address, target netip.AddrPort, source netip.Addr) (net.Addr, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, listener)
	r.mu.Unlock()
	go r.serve(listener, target, source)
	return listener.Addr(), nil
}

// Close stops the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	r.mu.Unlock()
	r.Break(func(_, _ netip.Addr) bool { return true })
}

func (r *Relay) serve(listener net.Listener, target netip.AddrPort, source netip.Addr) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relay(client, target, source)
	}
}

func (r *Relay) relay(client net.Conn, target netip.AddrPort, source netip.Addr) {
	defer func() { _ = client.Close() }()
	if !source.IsValid() {
		source = client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	}
	destination := target.Addr()
	link := r.link(&pair{source: source, destination: destination}, false)
	if link.Refused {
		return
	}
	// Opening a connection takes one round trip on the real link.
	time.Sleep(2 * link.Delay)
	server, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	p := &pair{source: source, destination: destination, client: client, server: server}
	r.add(p)
	defer r.remove(p)
	done := make(chan struct{}, 2)
	go func() { r.copy(p, client, server, false); done <- struct{}{} }()
	go func() { r.copy(p, server, client, true); done <- struct{}{} }()
	<-done
}

func (r *Relay) add(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pairs[p] = struct{}{}
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

func (r *Relay) link(p *pair, back bool) Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	source, destination := p.source, p.destination
	if back {
		source, destination = destination, source
	}
	link := r.rule(source, destination)
	link.Silent = link.Silent || p.poisoned
	return link
}

// silentPoll is the time between two looks at a link that holds bytes back.
const silentPoll = 20 * time.Millisecond

// chunk is a piece of a stream with the time at which it is due.
type chunk struct {
	bytes []byte
	due   time.Time
}

// copy forwards one direction. Reading goes on while earlier bytes wait, so that delay does not limit throughput.
func (r *Relay) copy(p *pair, from, to net.Conn, back bool) {
	chunks := make(chan chunk, 1024)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				select {
				case chunks <- chunk{buffer[:n], time.Now().Add(r.link(p, back).Delay)}:
				case <-stop:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		for r.link(p, back).Silent {
			if !r.open(p) {
				return
			}
			time.Sleep(silentPoll)
		}
		if _, err := to.Write(c.bytes); err != nil {
			return
		}
	}
}

func (r *Relay) open(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.pairs[p]
	return ok
}
