package questionnaire

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// namePattern matches names that can be used in paths and file names. It allows at most 28 characters, because generated ids
// consist of two names and a number, and an id has at most 64 characters.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,27}$`)

var hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

const (
	wantName = "want 1 to 28 characters out of a-z, 0-9 and hyphen"
	wantHash = "want the 64 hexadecimal digits that `foxtailtack token hash` prints"
)

// checker checks answers. It collects their problems, and the parsed addresses from which the policy is generated.
type checker struct {
	answers  *Answers
	problems []policy.Problem

	regions, domains, services map[string]bool
	// addressQuestions maps each address that is already in use to the question that contains it.
	addressQuestions map[netip.AddrPort]string
	// distinctPorts is false if two listeners of one entry host would have the same port.
	distinctPorts bool
	// hostGroups and backendGroups hold the addresses of each group of entry hosts and of backend servers.
	hostGroups    [][]hostAddresses
	backendGroups [][]netip.AddrPort
}

func newChecker(a *Answers) *checker {
	return &checker{
		answers:          a,
		regions:          map[string]bool{},
		domains:          map[string]bool{},
		services:         map[string]bool{},
		addressQuestions: map[netip.AddrPort]string{},
	}
}

// checkAll runs all checks and returns the problems. The checks that collect names run before those that look names up.
func (c *checker) checkAll() []policy.Problem {
	c.checkName("deployment.name", c.answers.Deployment.Name)
	c.checkPlatform()
	c.checkTopology()
	c.checkLinks()
	c.checkServices()
	c.checkEntryHosts()
	c.checkBackendServers()
	c.checkCallers()
	c.checkOperators()
	c.checkBlocks()
	return c.problems
}

func (c *checker) report(question string, value any, want string, args ...any) {
	c.problems = append(c.problems, policy.Problem{
		Field: question,
		Value: fmt.Sprint(value),
		Want:  fmt.Sprintf(want, args...),
	})
}

// checkName checks the form of a name and reports whether it is valid.
func (c *checker) checkName(question, value string) bool {
	if !namePattern.MatchString(value) {
		c.report(question, value, wantName)
		return false
	}
	return true
}

// checkUniqueName checks the form and uniqueness of a name and adds it to seen.
func (c *checker) checkUniqueName(seen map[string]bool, question, name string) {
	if !c.checkName(question, name) {
		return
	}
	if seen[name] {
		c.report(question, name, "want each name once")
	}
	seen[name] = true
}

func (c *checker) checkReference(names map[string]bool, question, name, kind string) {
	if !names[name] {
		c.report(question, name, "want the name of one of the %s: %s", kind, joinNames(names))
	}
}

func (c *checker) checkRange(question string, value, low, high float64) bool {
	if !(value >= low && value <= high) {
		c.report(question, value, "want a number from %v to %v", low, high)
		return false
	}
	return true
}

func (c *checker) checkPlatform() {
	u, err := url.Parse(c.answers.Platform.StoreURL)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") {
		if _, err = netip.ParseAddrPort(u.Host); err == nil {
			return
		}
	}
	c.report("platform.store_url", c.answers.Platform.StoreURL, "want http:// or https:// with an IP address and port")
}

func (c *checker) checkTopology() {
	if len(c.answers.Regions) == 0 {
		c.report("regions", 0, "want at least one region")
	}
	for i, r := range c.answers.Regions {
		c.checkUniqueName(c.regions, fmt.Sprintf("regions[%d].name", i), r.Name)
		c.checkRange("regions["+r.Name+"].max_shift_share", r.MaxShiftShare, 0, 1)
	}
	if len(c.answers.FailureDomains) == 0 {
		c.report("failure_domains", 0, "want at least one failure domain")
	}
	for i, d := range c.answers.FailureDomains {
		c.checkUniqueName(c.domains, fmt.Sprintf("failure_domains[%d].name", i), d.Name)
		c.checkReference(c.regions, "failure_domains["+d.Name+"].region", d.Region, "regions")
	}
}

func (c *checker) checkCallers() {
	ids, tokens := map[string]bool{}, map[string]string{}
	for i, caller := range c.answers.Callers {
		question := "callers[" + caller.ID + "]"
		c.checkUniqueName(ids, fmt.Sprintf("callers[%d].id", i), caller.ID)
		c.checkTokenHash(tokens, question, caller.TokenSHA256)
		for _, s := range caller.Services {
			c.checkReference(c.services, question+".services", s, "services")
		}
		c.checkRank(question+".highest_rank", caller.HighestRank)
	}
}

func (c *checker) checkOperators() {
	names, tokens := map[string]bool{}, map[string]string{}
	hasUnrestricted := false
	for i, o := range c.answers.Operators {
		question := "operators[" + o.Name + "]"
		c.checkUniqueName(names, fmt.Sprintf("operators[%d].name", i), o.Name)
		c.checkTokenHash(tokens, question, o.TokenSHA256)
		if o.Team == "*" {
			hasUnrestricted = true
		} else {
			c.checkName(question+".team", o.Team)
		}
	}
	if !hasUnrestricted {
		c.report("operators", len(c.answers.Operators), "want at least one operator of team \"*\"; only such an operator can apply the first policy")
	}
}

func (c *checker) checkTokenHash(seen map[string]string, question, hash string) {
	hash = strings.ToLower(hash)
	if !hashPattern.MatchString(hash) {
		// The problem does not contain the value, because it may be a token that was entered instead of its hash.
		c.report(question+".token_sha256", fmt.Sprintf("%d characters", len(hash)), wantHash)
		return
	}
	if other, ok := seen[hash]; ok {
		c.report(question+".token_sha256", hash, "want a token of its own; %s has the same", other)
	}
	seen[hash] = question
}

func (c *checker) checkRank(question, name string) {
	if _, err := rank.Parse(name); err != nil {
		c.report(question, name, "want urgent, interactive or deferrable")
	}
}

func (c *checker) checkBlocks() {
	seen := map[netip.Prefix]bool{}
	for _, b := range c.answers.ClientBlocks {
		question := "client_blocks[" + b.Prefix + "]"
		prefix, err := netip.ParsePrefix(b.Prefix)
		switch {
		case err != nil || prefix != prefix.Masked():
			c.report(question+".prefix", b.Prefix, "want a prefix without host bits, for example 203.0.113.0/24")
		case seen[prefix]:
			c.report(question+".prefix", b.Prefix, "want each prefix once")
		}
		seen[prefix] = true
		if len(b.FailureDomains) == 0 {
			c.report(question+".failure_domains", "", "want at least one failure domain")
		}
		for _, d := range b.FailureDomains {
			c.checkReference(c.domains, question+".failure_domains", d, "failure domains")
		}
	}
}
