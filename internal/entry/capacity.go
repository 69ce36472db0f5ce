package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/admission"
	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// capacity holds one admission controller for each service that has backend servers in this failure domain.
type capacity struct {
	cluster  *cluster
	registry *backend.Registry
	unranked bool

	// mu is locked before the lock of the cluster, never while the lock of the cluster is held.
	mu          sync.RWMutex
	controllers map[string]*admission.Controller
}

func newCapacity(cluster *cluster, registry *backend.Registry, unranked bool) *capacity {
	return &capacity{cluster: cluster, registry: registry, unranked: unranked, controllers: map[string]*admission.Controller{}}
}

// configure adds, updates and removes controllers according to the services of a policy.
func (c *capacity) configure(snapshot *policy.Snapshot) {
	served := map[string]bool{}
	for _, b := range snapshot.BackendServersIn(c.cluster.domain, "") {
		served[b.Service] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.controllers {
		if !served[name] {
			delete(c.controllers, name)
		}
	}
	for name := range served {
		service := snapshot.Service(name)
		if controller := c.controllers[name]; controller != nil {
			controller.SetService(service)
			continue
		}
		c.controllers[name] = c.newController(service)
	}
}

func (c *capacity) newController(service *policy.Service) *admission.Controller {
	source := &slotSource{service: service.Name, cluster: c.cluster, registry: c.registry}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if c.unranked {
		return admission.NewUnrankedController(service, source, rng, time.Now)
	}
	return admission.NewController(service, source, rng, time.Now)
}

func (c *capacity) controller(service string) *admission.Controller {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.controllers[service]
}

func (c *capacity) allControllers() map[string]*admission.Controller {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make(map[string]*admission.Controller, len(c.controllers))
	for name, controller := range c.controllers {
		all[name] = controller
	}
	return all
}

// refresh makes each controller read its number of usable slots again.
func (c *capacity) refresh() {
	for _, controller := range c.allControllers() {
		controller.Refresh()
	}
}

// headroom returns the smoothed free slots of each service for heartbeats.
func (c *capacity) headroom() []membership.Headroom {
	var list []membership.Headroom
	for name, controller := range c.allControllers() {
		list = append(list, membership.Headroom{
			Service: name,
			Usable:  controller.Usage().Capacity,
			Free:    controller.SmoothedHeadroom(),
		})
	}
	return list
}

// Acquire implements forward.Admitter.
func (c *capacity) Acquire(ctx context.Context, service string, r rank.Rank, caller string, deadline time.Time, maxWait time.Duration, exclude []string) (forward.Permit, *result.Failure) {
	controller := c.controller(service)
	if controller == nil {
		return nil, result.Fail(result.NoBackendServer, "service %q has no backend server in this failure domain", service)
	}
	if maxWait <= 0 {
		maxWait = noWait
	}
	permit, failure := controller.Acquire(ctx, admission.AcquireRequest{Rank: r, Caller: caller, Deadline: deadline, MaxWait: maxWait, Exclude: exclude})
	if failure != nil {
		return nil, failure
	}
	return &admissionPermit{permit: permit, acquiredAt: time.Now()}, nil
}

// noWait is the maximum wait that admits a request only to a slot that is free now. The controller treats 0 as no bound.
const noWait = time.Nanosecond

// admissionPermit adapts a permit of the admission controller to forward.Permit.
type admissionPermit struct {
	permit     *admission.Permit
	acquiredAt time.Time
}

// BackendServer implements forward.Permit.
func (p *admissionPermit) BackendServer() string { return p.permit.BackendServer }

// Release implements forward.Permit. The slot counts as in use for the duration hold after the call.
func (p *admissionPermit) Release(hold time.Duration) {
	elapsed := time.Since(p.acquiredAt)
	if hold <= 0 {
		p.permit.Release(elapsed)
		return
	}
	time.AfterFunc(hold, func() { p.permit.Release(elapsed) })
}

// slotSource provides the slots of one service that this host may use, on backend servers that accept requests.
type slotSource struct {
	service  string
	cluster  *cluster
	registry *backend.Registry
}

// Usable implements admission.SlotSource.
func (s *slotSource) Usable(now time.Time) int {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.registry.Usable(s.service, s.cluster.tracker.Availability(s.service, now), now)
}

// Take implements admission.SlotSource.
func (s *slotSource) Take(now time.Time, exclude []string) (slots.ID, bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	available := s.cluster.tracker.Availability(s.service, now)
	id, ok := s.registry.Pick(s.service, available, exclude, now, s.cluster.rng)
	if !ok {
		return slots.ID{}, false
	}
	return s.cluster.tracker.Take(id, now)
}

// Release implements admission.SlotSource. It ignores the time that the request ran.
func (s *slotSource) Release(slot slots.ID, _ time.Duration) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.cluster.tracker.Release(slot, time.Now(), 0)
}
