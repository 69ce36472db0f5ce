// Package admintest provides fakes for tests of the administration API and of the command-line client.
package admintest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Fault is a simulated fault of the fake store.
type Fault int

// Simulated faults.
const (
	// None means that the store works.
	None Fault = iota
	// Unavailable makes all changes and reads fail. No change is stored.
	Unavailable
	// ResponseLost means that a change is stored but the store's response is lost.
	ResponseLost
	// WriteLost means that a change isn't stored and the caller gets no response.
	WriteLost
)

// Configuration is an in-memory admin.Configuration.
type Configuration struct {
	mu          sync.Mutex
	fault       Fault
	beforeApply func()
	heads       []config.Head
	docs        []*policy.Document
	snapshot    *policy.Snapshot
	now         time.Time
}

// NewConfiguration returns an empty configuration. Its clock starts at the given time and advances by a minute with each
// accepted change.
func NewConfiguration(now time.Time) *Configuration {
	return &Configuration{now: now}
}

// SetFault sets the simulated fault of the store.
func (c *Configuration) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// BeforeNextApply sets a function that is called once, before the next change reaches the store.
func (c *Configuration) BeforeNextApply(beforeApply func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeApply = beforeApply
}

// Snapshot implements admin.Configuration.
func (c *Configuration) Snapshot() *policy.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

// Head implements admin.Configuration.
func (c *Configuration) Head() config.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head()
}

func (c *Configuration) head() config.Head {
	if len(c.heads) == 0 {
		return config.Head{}
	}
	return c.heads[len(c.heads)-1]
}

// Apply implements admin.Configuration.
func (c *Configuration) Apply(_ context.Context, change config.Change) (config.Accepted, error) {
	c.runBeforeApply()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.fault {
	case Unavailable:
		return config.Accepted{}, result.Fail(result.StoreUnavailable, "the store refuses connections")
	case WriteLost:
		return config.Accepted{}, result.Fail(result.StoreOutcomeUnknown, "no answer from the store within 2s")
	}
	accepted, err := c.accept(change)
	if err == nil && c.fault == ResponseLost {
		return config.Accepted{}, result.Fail(result.StoreOutcomeUnknown, "no answer from the store within 2s")
	}
	return accepted, err
}

func (c *Configuration) runBeforeApply() {
	c.mu.Lock()
	beforeApply := c.beforeApply
	c.beforeApply = nil
	c.mu.Unlock()
	if beforeApply != nil {
		beforeApply()
	}
}

func (c *Configuration) accept(change config.Change) (config.Accepted, error) {
	head := c.head()
	if slices.Contains(head.RecentChangeIDs, change.ID) {
		return config.Accepted{Version: head.Version, ChangeID: change.ID, AlreadyAccepted: true}, nil
	}
	if change.Base != head.Version {
		return config.Accepted{}, result.Fail(result.VersionConflict, "the change was made on version %d, but version %d is accepted", change.Base, head.Version)
	}
	version := head.Version + 1
	snapshot, err := policy.Compile(change.Document, version, change.ID)
	if err != nil {
		return config.Accepted{}, err
	}
	c.now = c.now.Add(time.Minute)
	c.heads = append(c.heads, config.Head{
		Version: version, ChangeID: change.ID, Operator: change.Operator, Reason: change.Reason, Time: c.now,
		RecentChangeIDs: append([]string{change.ID}, head.RecentChangeIDs...),
	})
	c.docs = append(c.docs, change.Document)
	c.snapshot = snapshot
	return config.Accepted{Version: version, ChangeID: change.ID}, nil
}

// Rollback implements admin.Configuration.
func (c *Configuration) Rollback(ctx context.Context, to policy.Version, change config.Change) (config.Accepted, error) {
	doc, err := c.Load(ctx, to)
	if err != nil {
		return config.Accepted{}, err
	}
	change.Document = doc
	return c.Apply(ctx, change)
}

// History implements admin.Configuration.
func (c *Configuration) History(_ context.Context, limit int) ([]config.Head, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault == Unavailable {
		return nil, result.Fail(result.StoreUnavailable, "the store refuses connections")
	}
	heads := slices.Clone(c.heads)
	slices.Reverse(heads)
	return heads[:min(limit, len(heads))], nil
}

// Load implements admin.Configuration.
func (c *Configuration) Load(_ context.Context, version policy.Version) (*policy.Document, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault == Unavailable {
		return nil, result.Fail(result.StoreUnavailable, "the store refuses connections")
	}
	if version < 1 || int(version) > len(c.docs) {
		return nil, result.Fail(result.VersionNotFound, "there is no version %d", version)
	}
	doc := *c.docs[version-1]
	return &doc, nil
}
