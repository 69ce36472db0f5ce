package policy

// Defaults of the optional fields. Each has the unit of its field.
const (
	defaultHostListMaxLagMs = 10_000
	defaultEvidenceMaxAgeMs = 5_000
	defaultPauseLimitMs     = 1_000
	defaultMaxShiftShare    = 0.5
	defaultLookupTTLMs      = 2_000
	defaultMaxRequestMs     = 5_000
	defaultMaxBodyBytes     = 1 << 20
	defaultMaxResponseBytes = 4 << 20
	defaultRetryBudget      = 0.1
	defaultBackendRampMs    = 5_000
	defaultShiftRampMs      = 30_000
	defaultQueuePerCaller   = 64
	defaultMaxConnections   = 330
	defaultShedStatus       = 503
	defaultShedHeader       = "X-Not-Run"
	defaultHealthPath       = "/healthz"

	defaultUrgentLimit      = 1.0
	defaultInteractiveLimit = 0.85
	defaultDeferrableLimit  = 0.6
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// FillDefaults sets every optional field that is zero to its default.
func FillDefaults(doc *Document) {
	setDefault(&doc.Timing.HostListMaxLagMs, defaultHostListMaxLagMs)
	setDefault(&doc.Timing.EvidenceMaxAgeMs, defaultEvidenceMaxAgeMs)
	setDefault(&doc.Timing.PauseLimitMs, defaultPauseLimitMs)
	setDefault(&doc.Timing.MaxRequestMs, defaultMaxRequestMs)
	for i := range doc.Regions {
		setDefault(&doc.Regions[i].MaxShiftShare, defaultMaxShiftShare)
	}
	for i := range doc.Services {
		fillServiceDefaults(&doc.Services[i])
	}
	for i := range doc.BackendServers {
		setDefault(&doc.BackendServers[i].MaxConnections, defaultMaxConnections)
	}
	for i := range doc.Shifts {
		setDefault(&doc.Shifts[i].RampMs, defaultShiftRampMs)
	}
	fillSiteDefaults(doc)
}

func fillServiceDefaults(s *Service) {
	setDefault(&s.LookupTTLMs, defaultLookupTTLMs)
	setDefault(&s.MaxRequestMs, defaultMaxRequestMs)
	setDefault(&s.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.MaxResponseBytes, defaultMaxResponseBytes)
	setDefault(&s.RetryBudget, defaultRetryBudget)
	setDefault(&s.RampMs, defaultBackendRampMs)
	setDefault(&s.Shed.Status, defaultShedStatus)
	setDefault(&s.Shed.Header, defaultShedHeader)
	setDefault(&s.HealthPath, defaultHealthPath)
	fillRankDefaults(&s.Ranks.Urgent, defaultUrgentLimit)
	fillRankDefaults(&s.Ranks.Interactive, defaultInteractiveLimit)
	fillRankDefaults(&s.Ranks.Deferrable, defaultDeferrableLimit)
}

func fillRankDefaults(r *RankPolicy, limit float64) {
	setDefault(&r.Limit, limit)
	setDefault(&r.QueuePerCaller, defaultQueuePerCaller)
}

// fillSiteDefaults adds a site with the name of the failure domain to each failure domain that has none, and assigns hosts
// without a site to the first site of their failure domain.
func fillSiteDefaults(doc *Document) {
	firstSite := make(map[string]string, len(doc.FailureDomains))
	for _, s := range doc.Sites {
		if firstSite[s.FailureDomain] == "" {
			firstSite[s.FailureDomain] = s.Name
		}
	}
	for _, d := range doc.FailureDomains {
		if firstSite[d.Name] == "" {
			doc.Sites = append(doc.Sites, Site{Name: d.Name, FailureDomain: d.Name})
			firstSite[d.Name] = d.Name
		}
	}
	for i := range doc.Hosts {
		setDefault(&doc.Hosts[i].Site, firstSite[doc.Hosts[i].FailureDomain])
	}
}
