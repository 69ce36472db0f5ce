package questionnaire

import (
	"net/netip"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/settings"
)

const (
	// maxOwnDomainPeers is the largest number of bootstrap peers in the failure domain of a host.
	maxOwnDomainPeers = 3
	// maxBootstrapPeers is the largest number of bootstrap peers. Those outside the failure domain of the host are one host
	// in each of the following failure domains.
	maxBootstrapPeers = 8

	defaultKeyPrefix            = "foxtailtack/"
	defaultStoreTimeoutMs       = 2_000
	defaultLogLevel             = "info"
	defaultTraceSample          = 0.01
	defaultMaxCallerConnections = 10_000
	defaultHeaderBytes          = 32 << 10
	defaultStopTimeoutMs        = 30_000
)

func hostSettings(a *Answers, doc *policy.Document) map[string]settings.Settings {
	all := make(map[string]settings.Settings, len(doc.Hosts))
	for i := range doc.Hosts {
		h := &doc.Hosts[i]
		all[h.ID] = settings.Settings{
			HostID:        h.ID,
			FailureDomain: h.FailureDomain,
			CallerAddress: h.CallerAddress,
			PeerAddress:   h.PeerAddress,
			AdminAddress:  h.AdminAddress,
			Store:         settings.Store{URL: a.Platform.StoreURL, KeyPrefix: keyPrefix(a), TimeoutMs: defaultStoreTimeoutMs},
			Bootstrap:     bootstrapPeers(doc, i),
			Log:           settings.Log{Level: defaultLogLevel, TraceSample: defaultTraceSample},
			Limits:        settings.Limits{MaxConnections: defaultMaxCallerConnections, MaxHeaderBytes: defaultHeaderBytes, StopTimeoutMs: defaultStopTimeoutMs},
		}
	}
	return all
}

func keyPrefix(a *Answers) string {
	if a.Platform.KeyPrefix == "" {
		return defaultKeyPrefix
	}
	return a.Platform.KeyPrefix
}

// bootstrapPeers returns the addresses of the peers from which a host can fetch the configuration during a store outage:
// first some hosts of its own failure domain, then one host of each other failure domain, because all hosts of its own
// failure domain may be starting at the same time.
func bootstrapPeers(doc *policy.Document, own int) []netip.AddrPort {
	domain := doc.Hosts[own].FailureDomain
	var ownDomainPeers, otherDomainPeers []netip.AddrPort
	seen := map[string]bool{domain: true}
	// Each host's list begins with the hosts that follow it, which distributes the fetches of many starting hosts over all
	// peers.
	for i := 1; i < len(doc.Hosts); i++ {
		h := &doc.Hosts[(own+i)%len(doc.Hosts)]
		switch {
		case h.FailureDomain == domain && len(ownDomainPeers) < maxOwnDomainPeers:
			ownDomainPeers = append(ownDomainPeers, h.PeerAddress)
		case !seen[h.FailureDomain]:
			seen[h.FailureDomain] = true
			otherDomainPeers = append(otherDomainPeers, h.PeerAddress)
		}
	}
	list := append(ownDomainPeers, otherDomainPeers...)
	return list[:min(len(list), maxBootstrapPeers)]
}
