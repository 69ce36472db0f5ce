package config

import (
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Names of the parts that are stored as TOML. Hosts and backend servers make up most of a document at the target size, so they have
// their own parts and are not transferred when only a service or shift changes.
const (
	// basePart is the name of the part that contains everything that has no separate part.
	basePart = "base"
	// hostsPart is the name of the part that contains the entry hosts.
	hostsPart = "hosts"
	// serversPrefix is the prefix of the names of the parts that contain the backend servers of one failure domain.
	serversPrefix = "backend-servers-"
)

// hostsSection is the stored form of the part that contains the entry hosts.
type hostsSection struct {
	Hosts []policy.Host `toml:"hosts"`
}

// serversSection is the stored form of a part that contains backend servers.
type serversSection struct {
	BackendServers []policy.BackendServer `toml:"backend_servers"`
}

// splitSections returns the parts of a document that are stored as TOML, the base part first. Lists keep their order within a part.
func splitSections(doc *policy.Document) ([]part, error) {
	base := *doc
	base.Hosts, base.BackendServers, base.Blocks = nil, nil, nil
	raw, err := policy.Encode(&base)
	if err != nil {
		return nil, err
	}
	parts := []part{newPart(basePart, raw)}
	add := func(name string, section any) error {
		raw, err := toml.Marshal(section)
		parts = append(parts, newPart(name, raw))
		return Error.Wrap(err)
	}
	if err := add(hostsPart, hostsSection{doc.Hosts}); err != nil {
		return nil, err
	}
	servers := serversByDomain(doc.BackendServers)
	for _, domain := range slices.Sorted(maps.Keys(servers)) {
		if err := add(serversPrefix+domain, serversSection{servers[domain]}); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

func serversByDomain(servers []policy.BackendServer) map[string][]policy.BackendServer {
	byDomain := map[string][]policy.BackendServer{}
	for _, s := range servers {
		byDomain[s.FailureDomain] = append(byDomain[s.FailureDomain], s)
	}
	return byDomain
}

// joinSections returns the document that consists of the TOML parts refs, the first of which is the base part. Backend servers are
// in the order of the parts.
func joinSections(refs []PartRef, raw map[Digest][]byte) (*policy.Document, error) {
	doc, err := policy.Decode(raw[refs[0].Digest])
	if err != nil {
		return nil, err
	}
	for _, ref := range refs[1:] {
		section, err := policy.Decode(raw[ref.Digest])
		if err != nil {
			return nil, Error.New("part %s: %v", ref.Name, err)
		}
		doc.Hosts = append(doc.Hosts, section.Hosts...)
		doc.BackendServers = append(doc.BackendServers, section.BackendServers...)
	}
	return doc, nil
}
