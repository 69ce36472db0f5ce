package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// Version is the number of an accepted configuration; 0 means none.
type Version uint64

// Snapshot is an accepted policy with indexes for lookups. It is immutable after Compile.
type Snapshot struct {
	// Version is the version of the policy.
	Version Version
	// ChangeID is the identifier of the change that created the version.
	ChangeID string
	// Document is the policy with defaults filled in. Treat it as read-only.
	Document *Document

	services  map[string]*Service
	hosts     map[string]*Host
	backends  map[string]*BackendServer
	regionOf  map[string]string
	callers   map[string]*Caller
	operators map[string]*Operator
	drained   map[string]bool
	distances map[[2]string]Distance
}

// Compile fills in defaults, validates a document and indexes it. Callers must not modify the document afterwards.
func Compile(doc *Document, version Version, changeID string) (*Snapshot, error) {
	FillDefaults(doc)
	if err := Validate(doc); err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:   version,
		ChangeID:  changeID,
		Document:  doc,
		services:  make(map[string]*Service, len(doc.Services)),
		hosts:     make(map[string]*Host, len(doc.Hosts)),
		backends:  make(map[string]*BackendServer, len(doc.BackendServers)),
		regionOf:  make(map[string]string, len(doc.FailureDomains)),
		callers:   make(map[string]*Caller, len(doc.Callers)),
		operators: make(map[string]*Operator, len(doc.Operators)),
		drained:   make(map[string]bool, len(doc.DrainedBackendServers)),
		distances: make(map[[2]string]Distance, 2*len(doc.Distances)),
	}
	s.index()
	return s, nil
}

func (s *Snapshot) index() {
	doc := s.Document
	for i := range doc.Services {
		s.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Hosts {
		s.hosts[doc.Hosts[i].ID] = &doc.Hosts[i]
	}
	for i := range doc.BackendServers {
		s.backends[doc.BackendServers[i].ID] = &doc.BackendServers[i]
	}
	for _, d := range doc.FailureDomains {
		s.regionOf[d.Name] = d.Region
	}
	for i := range doc.Callers {
		s.callers[strings.ToLower(doc.Callers[i].TokenSHA256)] = &doc.Callers[i]
	}
	for i := range doc.Operators {
		s.operators[strings.ToLower(doc.Operators[i].TokenSHA256)] = &doc.Operators[i]
	}
	for _, id := range doc.DrainedBackendServers {
		s.drained[id] = true
	}
	for _, d := range doc.Distances {
		s.distances[[2]string{d.A, d.B}] = d
		s.distances[[2]string{d.B, d.A}] = d
	}
}

// Service returns a service by name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Host returns an entry host by id, or nil.
func (s *Snapshot) Host(id string) *Host { return s.hosts[id] }

// BackendServer returns a backend server by id, or nil.
func (s *Snapshot) BackendServer(id string) *BackendServer { return s.backends[id] }

// Region returns the region of a failure domain, or "".
func (s *Snapshot) Region(failureDomain string) string { return s.regionOf[failureDomain] }

// Drained reports whether the policy lists the backend server as drained.
func (s *Snapshot) Drained(backendID string) bool { return s.drained[backendID] }

// CallerByToken returns the caller that a bearer token belongs to, or nil.
func (s *Snapshot) CallerByToken(token string) *Caller { return s.callers[HashToken(token)] }

// OperatorByToken returns the operator that a bearer token belongs to, or nil.
func (s *Snapshot) OperatorByToken(token string) *Operator { return s.operators[HashToken(token)] }

// HashToken returns the hexadecimal SHA-256 of a token, which is the form in which the policy stores tokens.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// HostsIn lists the ids of the entry hosts of a failure domain in ascending order.
func (s *Snapshot) HostsIn(failureDomain string) []string {
	var ids []string
	for i := range s.Document.Hosts {
		if s.Document.Hosts[i].FailureDomain == failureDomain {
			ids = append(ids, s.Document.Hosts[i].ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// BackendServersIn lists the backend servers of a service in a failure domain; an empty service means all services.
func (s *Snapshot) BackendServersIn(failureDomain, service string) []*BackendServer {
	var list []*BackendServer
	for i := range s.Document.BackendServers {
		b := &s.Document.BackendServers[i]
		if b.FailureDomain == failureDomain && (service == "" || b.Service == service) {
			list = append(list, b)
		}
	}
	return list
}

// SlotsIn returns the number of slots of a service in a region.
func (s *Snapshot) SlotsIn(region, service string) int {
	total := 0
	for i := range s.Document.BackendServers {
		b := &s.Document.BackendServers[i]
		if b.Service == service && s.regionOf[b.FailureDomain] == region {
			total += b.Slots
		}
	}
	return total
}

// OneWayDelay returns the one-way delay between two failure domains. A distance that the policy does not contain counts as
// one second, so that a failure domain at an unknown distance is chosen last.
func (s *Snapshot) OneWayDelay(fromDomain, toDomain string) time.Duration {
	if fromDomain == toDomain {
		return 0
	}
	d, ok := s.distances[[2]string{s.regionOf[fromDomain], s.regionOf[toDomain]}]
	if !ok {
		return time.Second
	}
	return time.Duration(d.OneWayMs * float64(time.Millisecond))
}

// Match returns the first route of the service that matches a request, or nil. The path is the part after /s/{service}.
func (sv *Service) Match(method, path string) *Route {
	for i := range sv.Routes {
		r := &sv.Routes[i]
		if r.Method != "" && r.Method != method {
			continue
		}
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// LimitSlots returns how many of capacity slots a rank and all less urgent ranks may hold in total. A rank with a positive
// limit gets at least one slot, because in some deployments a host has only a single slot of a service.
func (sv *Service) LimitSlots(r rank.Rank, capacity int) int {
	limit := sv.Ranks.Of(r).Limit
	if limit <= 0 || capacity <= 0 {
		return 0
	}
	return max(1, int(math.Floor(limit*float64(capacity)+1e-9)))
}

// FloorSlots returns how many of capacity slots stay available to a rank while more urgent requests wait.
func (sv *Service) FloorSlots(r rank.Rank, capacity int) int {
	return int(math.Floor(sv.Ranks.Of(r).Floor*float64(capacity) + 1e-9))
}

// LookupTTL returns the time to live of lookup responses.
func (sv *Service) LookupTTL() time.Duration { return time.Duration(sv.LookupTTLMs) * time.Millisecond }

// MaxRequest returns the longest time that a request may take.
func (sv *Service) MaxRequest() time.Duration {
	return time.Duration(sv.MaxRequestMs) * time.Millisecond
}

// HostListMaxLag returns the upper bound on the lag of the platform's host list.
func (t Timing) HostListMaxLag() time.Duration {
	return time.Duration(t.HostListMaxLagMs) * time.Millisecond
}

// EvidenceMaxAge returns the age from which a fetched host list no longer confirms that a host is gone.
func (t Timing) EvidenceMaxAge() time.Duration {
	return time.Duration(t.EvidenceMaxAgeMs) * time.Millisecond
}

// PauseLimit returns the longest pause of its process after which a host still keeps its slots.
func (t Timing) PauseLimit() time.Duration { return time.Duration(t.PauseLimitMs) * time.Millisecond }

// MaxRequest returns the longest time that a request of any service may take.
func (t Timing) MaxRequest() time.Duration { return time.Duration(t.MaxRequestMs) * time.Millisecond }
