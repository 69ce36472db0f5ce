package capacity

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	standin "github.com/foxtailtack/foxtailtack/internal/standin/platform"
	"github.com/foxtailtack/foxtailtack/platform"
)

// policyCost is what a policy of some size costs an entry host.
type policyCost struct {
	blocks int
	// configuration and table are bytes of live heap.
	configuration, table float64
	// transferred is the number of bytes that a starting host fetches.
	transferred uint64
	// decode is the time from the first byte to the compiled policy, and build that of the look-up table.
	decode, build time.Duration
	changes       []changeCost
}

// changeCost is what one change of the policy costs an entry host.
type changeCost struct {
	name        string
	transferred uint64
	// decode and build are as for the whole policy.
	decode, build time.Duration
}

// countedPeer gives the configuration of the operator's process and counts its bytes.
type countedPeer struct {
	operator *config.Manager
	bytes    atomic.Uint64
}

func (c *countedPeer) Head(context.Context, string) (config.Head, error) {
	head := c.operator.Head()
	size, err := encodedSize(head)
	c.bytes.Add(uint64(size))
	return head, err
}

func (c *countedPeer) Part(_ context.Context, _ string, digest config.Digest) ([]byte, error) {
	part, ok := c.operator.Part(digest)
	if !ok {
		return nil, fmt.Errorf("part %s is missing", digest)
	}
	c.bytes.Add(uint64(len(part)))
	return bytes.Clone(part), nil
}

// policyBench is an operator's process and an entry host that learns from it.
type policyBench struct {
	operator, host *config.Manager
	peer           *countedPeer
	document       *policy.Document
	table          *lookup.Table
}

// servePlatform serves the platform stand-in on loopback.
func servePlatform() (url string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: standin.New(), ReadHeaderTimeout: storeTimeout}
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), func() { _ = server.Close() }, nil
}

// targetShape is the target size with a number of blocks.
func targetShape(blocks int) shape {
	return shape{regions: 6, domains: 18, hostsPerDomain: 27, serversPerDomain: 110, services: 8, sites: 49, blocks: blocks}
}

// measurePolicy measures the policy of the target size with a number of blocks.
func measurePolicy(ctx context.Context, blocks int) (policyCost, error) {
	url, stop, err := servePlatform()
	if err != nil {
		return policyCost{}, err
	}
	defer stop()
	b := &policyBench{document: document(targetShape(blocks))}
	b.operator = config.NewManager(platform.NewKeys(url, "", storeTimeout), nil, zerolog.Nop())
	b.peer = &countedPeer{operator: b.operator}
	b.host = config.NewManager(nil, b.peer, zerolog.Nop())
	cost := policyCost{blocks: blocks}
	if err := b.first(ctx, &cost); err != nil {
		return cost, err
	}
	for _, c := range b.changes() {
		changed, err := b.change(ctx, c.name, c.apply)
		if err != nil {
			return cost, fmt.Errorf("change of a %s: %w", c.name, err)
		}
		cost.changes = append(cost.changes, changed)
	}
	return cost, nil
}

// first brings the first version into force.
func (b *policyBench) first(ctx context.Context, cost *policyCost) error {
	if err := b.accept(ctx); err != nil {
		return err
	}
	empty := liveHeap()
	start := time.Now()
	if err := b.host.PullFromPeer(ctx, "", b.operator.Head().Version); err != nil {
		return err
	}
	cost.decode = time.Since(start)
	learned := liveHeap()
	start = time.Now()
	if err := b.build(); err != nil {
		return err
	}
	cost.build = time.Since(start)
	cost.configuration, cost.table = learned-empty, liveHeap()-learned
	cost.transferred = b.peer.bytes.Swap(0)
	runtime.KeepAlive(b.table)
	return nil
}

// accept has the document accepted.
func (b *policyBench) accept(ctx context.Context) error {
	base := b.operator.Head().Version
	_, err := b.operator.Apply(ctx, config.Change{ID: fmt.Sprintf("change-%d", base+1), Base: base, Document: b.document})
	return err
}

func (b *policyBench) build() (err error) {
	b.table, err = lookup.Recompile(b.table, b.host.Snapshot(), domainName(0))
	return err
}

// namedChange is a change of one thing of the document.
type namedChange struct {
	name  string
	apply func()
}

func (b *policyBench) changes() []namedChange {
	doc := b.document
	return []namedChange{
		{"service", func() { doc.Services[0].HedgeAfterMs++ }},
		{"drain", func() { doc.DrainedBackendServers = []string{doc.BackendServers[0].ID} }},
		{"backend server", func() { doc.BackendServers[1].Slots++ }},
		{"host", func() { doc.Hosts[2].Retired = true }},
		{"block", func() { doc.Blocks[len(doc.Blocks)/2].Sites = []string{doc.Sites[3].Name} }},
	}
}

// change makes one change and measures it at the entry host.
func (b *policyBench) change(ctx context.Context, name string, apply func()) (changeCost, error) {
	apply()
	if err := b.accept(ctx); err != nil {
		return changeCost{}, err
	}
	b.peer.bytes.Store(0)
	runtime.GC()
	start := time.Now()
	if err := b.host.PullFromPeer(ctx, "", b.operator.Head().Version); err != nil {
		return changeCost{}, err
	}
	learned := time.Now()
	if err := b.build(); err != nil {
		return changeCost{}, err
	}
	return changeCost{name: name, transferred: b.peer.bytes.Swap(0), decode: learned.Sub(start), build: time.Since(learned)}, nil
}

// liveHeap is the number of bytes on the heap that are in use.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
