package questionnaire

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/settings"
)

// Generate returns the policy, with defaults filled in, and the settings of each entry host by host id. If answers are
// invalid or contradictory, it generates nothing and returns a *policy.InvalidError that lists all problems.
func Generate(a *Answers) (*policy.Document, map[string]settings.Settings, error) {
	c := newChecker(a)
	if problems := c.checkAll(); len(problems) > 0 {
		return nil, nil, &policy.InvalidError{Problems: problems}
	}
	doc := c.policyDocument()
	policy.FillDefaults(doc)
	// The checks above cover all rules of the policy, so an error of Validate is a bug in this package.
	if err := policy.Validate(doc); err != nil {
		return nil, nil, Error.New("the answers were accepted but the generated policy is invalid: %w", err)
	}
	return doc, hostSettings(a, doc), nil
}

func (c *checker) policyDocument() *policy.Document {
	a := c.answers
	doc := &policy.Document{Deployment: a.Deployment.Name}
	for _, r := range a.Regions {
		doc.Regions = append(doc.Regions, policy.Region{Name: r.Name, MaxShiftShare: r.MaxShiftShare})
	}
	for _, d := range a.FailureDomains {
		doc.FailureDomains = append(doc.FailureDomains, policy.FailureDomain{Name: d.Name, Region: d.Region})
	}
	for _, l := range a.Links {
		doc.Distances = append(doc.Distances, policy.Distance{A: l.A, B: l.B, OneWayMs: l.OneWayMs, LinkMbps: l.Mbps})
	}
	for i := range a.Services {
		doc.Services = append(doc.Services, policyService(&a.Services[i]))
	}
	doc.Hosts = c.policyHosts()
	doc.BackendServers = c.policyBackendServers()
	doc.Callers = policyCallers(a.Callers)
	for _, o := range a.Operators {
		doc.Operators = append(doc.Operators, policy.Operator{Name: o.Name, Team: o.Team, TokenSHA256: strings.ToLower(o.TokenSHA256)})
	}
	for _, b := range a.ClientBlocks {
		doc.Blocks = append(doc.Blocks, policy.Block{Prefix: netip.MustParsePrefix(b.Prefix), Sites: b.FailureDomains})
	}
	return doc
}

func policyService(s *Service) policy.Service {
	result := policy.Service{
		Name:         s.Name,
		Team:         s.Team,
		LookupTTLMs:  s.LookupTTLMs,
		MaxRequestMs: s.MaxRequestMs,
		HedgeAfterMs: s.HedgeAfterMs,
		HealthPath:   s.HealthPath,
		Ranks: policy.Ranks{
			Urgent:      rankPolicy(s.Ranks.Urgent),
			Interactive: rankPolicy(s.Ranks.Interactive),
			Deferrable:  rankPolicy(s.Ranks.Deferrable),
		},
	}
	for _, r := range s.Routes {
		result.Routes = append(result.Routes, policy.Route{Method: r.Method, PathPrefix: r.Path, Rank: parsedRank(r.Rank), Repeatable: r.Repeatable})
	}
	return result
}

func rankPolicy(r Rank) policy.RankPolicy {
	return policy.RankPolicy{Limit: r.Limit, Floor: r.Floor}
}

// parsedRank returns the rank of a name that checkRank has accepted.
func parsedRank(name string) rank.Rank {
	r, _ := rank.Parse(name)
	return r
}

func (c *checker) policyHosts() []policy.Host {
	var list []policy.Host
	for i, group := range c.answers.EntryHosts {
		for n, h := range c.hostGroups[i] {
			list = append(list, policy.Host{
				ID:            fmt.Sprintf("%s-entry-%d", group.FailureDomain, n+1),
				FailureDomain: group.FailureDomain,
				CallerAddress: h.caller,
				PeerAddress:   h.peer,
				AdminAddress:  h.admin,
			})
		}
	}
	return list
}

func (c *checker) policyBackendServers() []policy.BackendServer {
	services := map[string]*Service{}
	for i := range c.answers.Services {
		services[c.answers.Services[i].Name] = &c.answers.Services[i]
	}
	var list []policy.BackendServer
	for i, group := range c.answers.BackendServers {
		for n, address := range c.backendGroups[i] {
			list = append(list, policy.BackendServer{
				ID:             fmt.Sprintf("%s-%s-%d", group.FailureDomain, group.Service, n+1),
				Service:        group.Service,
				FailureDomain:  group.FailureDomain,
				Address:        address,
				Slots:          services[group.Service].Slots,
				MaxConnections: services[group.Service].Connections,
			})
		}
	}
	return list
}

func policyCallers(answers []Caller) []policy.Caller {
	var list []policy.Caller
	for _, a := range answers {
		list = append(list, policy.Caller{
			ID:          a.ID,
			TokenSHA256: strings.ToLower(a.TokenSHA256),
			Services:    a.Services,
			HighestRank: parsedRank(a.HighestRank),
		})
	}
	return list
}
