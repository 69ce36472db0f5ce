package policy

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// Error is the class of errors of this package.
var Error = errs.Class("policy")

// minEvidenceMaxAgeMs is longer than the interval of 2 s between two fetches of the host list. With a lower value
// no list would ever confirm that a host is gone, and the slots of a crashed host would stay idle.
const minEvidenceMaxAgeMs = 3_000

// maxFloorSum is the largest sum of the floors of a service. Floors may reserve all slots, but not more; 1e-9 absorbs
// rounding errors of the sum.
const maxFloorSum = 1.0 + 1e-9

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	// Validation errors name keys as they appear in the TOML file.
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	return v
}

// Problem describes one invalid value in a policy.
type Problem struct {
	// Field is the path of the field, for example services[grain-receipt].ranks.urgent.floor.
	Field string
	// Value is the invalid value as text.
	Value string
	// Want describes the allowed values.
	Want string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", p.Field, p.Value, p.Want)
}

// InvalidError lists all problems of a policy.
type InvalidError struct {
	Problems []Problem
}

// Error implements error. It returns one line per problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// checker collects the problems of a document and holds the names that references are checked against.
type checker struct {
	doc      *Document
	regions  map[string]bool
	domains  map[string]bool
	services map[string]bool
	sites    map[string]bool
	problems []Problem
}

func (c *checker) report(field, value, want string) {
	c.problems = append(c.problems, Problem{Field: field, Value: value, Want: want})
}

// Validate checks a document whose defaults are filled in. The error is an *InvalidError with all problems found.
func Validate(doc *Document) error {
	c := &checker{
		doc:      doc,
		regions:  map[string]bool{},
		domains:  map[string]bool{},
		services: map[string]bool{},
		sites:    map[string]bool{},
	}
	c.checkFields()
	c.collectNames()
	c.checkTopology()
	c.checkAddresses()
	c.checkServices()
	c.checkCallers()
	c.checkShifts()
	c.checkBlocks()
	if len(c.problems) > 0 {
		return &InvalidError{Problems: c.problems}
	}
	return nil
}

// checkFields applies the rules of the validate tags. It excludes Blocks: checkBlocks checks them, which is faster for
// 160,000 blocks.
func (c *checker) checkFields() {
	err := structValidator.StructExcept(c.doc, "Blocks")
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return
	}
	for _, f := range fields {
		want := f.Tag()
		if f.Param() != "" {
			want += " " + f.Param()
		}
		c.report(strings.TrimPrefix(f.Namespace(), "Document."), fmt.Sprint(f.Value()), "want "+want)
	}
}

func (c *checker) collectNames() {
	for _, r := range c.doc.Regions {
		c.regions[r.Name] = true
	}
	for _, d := range c.doc.FailureDomains {
		c.domains[d.Name] = true
	}
	for _, s := range c.doc.Services {
		c.services[s.Name] = true
	}
	for _, s := range c.doc.Sites {
		c.sites[s.Name] = true
	}
}

func (c *checker) checkTopology() {
	for _, d := range c.doc.FailureDomains {
		c.checkReference(c.regions, "failure_domains["+d.Name+"].region", d.Region, "region")
	}
	for i, d := range c.doc.Distances {
		field := fmt.Sprintf("distances[%d]", i)
		c.checkReference(c.regions, field+".a", d.A, "region")
		c.checkReference(c.regions, field+".b", d.B, "region")
	}
	for _, s := range c.doc.Sites {
		c.checkReference(c.domains, "sites["+s.Name+"].failure_domain", s.FailureDomain, "failure domain")
	}
	for _, h := range c.doc.Hosts {
		c.checkReference(c.domains, "hosts["+h.ID+"].failure_domain", h.FailureDomain, "failure domain")
		c.checkReference(c.sites, "hosts["+h.ID+"].site", h.Site, "site")
	}
	for _, b := range c.doc.BackendServers {
		c.checkReference(c.domains, "backend_servers["+b.ID+"].failure_domain", b.FailureDomain, "failure domain")
		c.checkReference(c.services, "backend_servers["+b.ID+"].service", b.Service, "service")
	}
	known := map[string]bool{}
	for _, b := range c.doc.BackendServers {
		known[b.ID] = true
	}
	for _, id := range c.doc.DrainedBackendServers {
		c.checkReference(known, "drained_backend_servers", id, "backend server")
	}
}

func (c *checker) checkReference(known map[string]bool, field, name, kind string) {
	if !known[name] {
		c.report(field, name, "want the name of a configured "+kind)
	}
}

func (c *checker) checkAddresses() {
	seen := map[netip.AddrPort]string{}
	check := func(field string, address netip.AddrPort) {
		if !address.IsValid() {
			c.report(field, address.String(), "want an IP address and port")
			return
		}
		if other, ok := seen[address]; ok {
			c.report(field, address.String(), "want an address of its own; "+other+" has the same")
			return
		}
		seen[address] = field
	}
	for _, h := range c.doc.Hosts {
		check("hosts["+h.ID+"].caller_address", h.CallerAddress)
		check("hosts["+h.ID+"].peer_address", h.PeerAddress)
		check("hosts["+h.ID+"].admin_address", h.AdminAddress)
	}
	for _, b := range c.doc.BackendServers {
		check("backend_servers["+b.ID+"].address", b.Address)
	}
}

func (c *checker) checkServices() {
	if t := c.doc.Timing; t.EvidenceMaxAgeMs < minEvidenceMaxAgeMs {
		c.report("timing.evidence_max_age_ms", fmt.Sprint(t.EvidenceMaxAgeMs), fmt.Sprintf("want at least %d, since hosts fetch the list each 2 s", minEvidenceMaxAgeMs))
	}
	// A request of a crashed host must complete before another host may use the slot of the request.
	if t := c.doc.Timing; t.MaxRequestMs > t.HostListMaxLagMs {
		c.report("timing.max_request_ms", fmt.Sprint(t.MaxRequestMs), fmt.Sprintf("want at most host_list_max_lag_ms (%d)", t.HostListMaxLagMs))
	}
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		if s.MaxRequestMs > c.doc.Timing.MaxRequestMs {
			c.report("services["+s.Name+"].max_request_ms", fmt.Sprint(s.MaxRequestMs),
				fmt.Sprintf("want at most timing.max_request_ms (%d)", c.doc.Timing.MaxRequestMs))
		}
		field := "services[" + s.Name + "].ranks"
		sum := 0.0
		previous := 1.0
		for _, r := range rank.All() {
			p := s.Ranks.Of(r)
			sum += p.Floor
			name := field + "." + r.String()
			if p.Floor > p.Limit {
				c.report(name+".floor", fmt.Sprint(p.Floor), fmt.Sprintf("want at most the limit %v", p.Limit))
			}
			if p.Limit > previous {
				c.report(name+".limit", fmt.Sprint(p.Limit), fmt.Sprintf("want at most the limit %v of the next more urgent rank", previous))
			}
			previous = p.Limit
		}
		if sum > maxFloorSum {
			c.report(field, fmt.Sprint(sum), "want floors whose sum is at most 1")
		}
	}
}

func (c *checker) checkCallers() {
	tokens := map[string]string{}
	for _, caller := range c.doc.Callers {
		field := "callers[" + caller.ID + "]"
		for _, s := range caller.Services {
			c.checkReference(c.services, field+".services", s, "service")
		}
		hash := strings.ToLower(caller.TokenSHA256)
		if other, ok := tokens[hash]; ok {
			c.report(field+".token_sha256", hash, "want a token of its own; caller "+other+" has the same")
		}
		tokens[hash] = caller.ID
	}
}

// checkShifts rejects shifts that in total exceed the share of a region's slots that shifts may use.
func (c *checker) checkShifts() {
	type target struct{ region, service string }
	totalCapSlots := map[target]int{}
	for _, s := range c.doc.Shifts {
		field := "shifts[" + s.ID + "]"
		c.checkReference(c.services, field+".service", s.Service, "service")
		c.checkReference(c.regions, field+".from", s.From, "region")
		c.checkReference(c.regions, field+".to", s.To, "region")
		t := target{s.To, s.Service}
		totalCapSlots[t] += s.CapSlots
		allowed := int(c.maxShiftShare(s.To) * float64(c.slotsIn(s.To, s.Service)))
		if totalCapSlots[t] > allowed {
			c.report(field+".cap_slots", fmt.Sprint(s.CapSlots),
				fmt.Sprintf("want at most %d slots for all shifts of %s into %s; with this one they have %d", allowed, s.Service, s.To, totalCapSlots[t]))
		}
	}
}

func (c *checker) maxShiftShare(region string) float64 {
	for _, r := range c.doc.Regions {
		if r.Name == region {
			return r.MaxShiftShare
		}
	}
	return 0
}

func (c *checker) slotsIn(region, service string) int {
	regionOf := map[string]string{}
	for _, d := range c.doc.FailureDomains {
		regionOf[d.Name] = d.Region
	}
	total := 0
	for _, b := range c.doc.BackendServers {
		if b.Service == service && regionOf[b.FailureDomain] == region {
			total += b.Slots
		}
	}
	return total
}

func (c *checker) checkBlocks() {
	seen := make(map[netip.Prefix]bool, len(c.doc.Blocks))
	for _, b := range c.doc.Blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			c.report("blocks", b.Prefix.String(), "want a prefix without host bits")
			continue
		}
		if seen[b.Prefix] {
			c.report("blocks", b.Prefix.String(), "want each prefix once")
		}
		seen[b.Prefix] = true
		if len(b.Sites) == 0 {
			c.report("blocks["+b.Prefix.String()+"].sites", "", "want at least one site")
		}
		for _, s := range b.Sites {
			if !c.sites[s] {
				c.report("blocks["+b.Prefix.String()+"].sites", s, "want the name of a configured site")
			}
		}
	}
}
