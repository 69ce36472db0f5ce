package membership

import (
	"slices"
	"strings"
	"time"
)

// originRetention is how long the last sequence of an origin is kept after its last summary. It is far above SummaryMaxAge, so
// that a repeated summary exceeds SummaryMaxAge by the time its sequence has been removed.
const originRetention = time.Minute

// originState identifies the latest summary received from one delegate of another failure domain.
type originState struct {
	incarnation Incarnation
	sequence    uint64
	receivedAt  time.Time
}

// remoteDomain is the known state of another failure domain.
type remoteDomain struct {
	summary Summary
	// writtenAt is the time of receipt minus the age of the summary at that time.
	writtenAt time.Time
	origins   map[string]originState
}

// Summary increments the summary sequence of this host and returns the next summary of its failure domain.
func (t *Table) Summary(now time.Time) Summary {
	t.summarySequence++
	return Summary{
		FailureDomain:     t.failureDomain,
		Origin:            t.self.ID,
		OriginIncarnation: t.self.Incarnation,
		Sequence:          t.summarySequence,
		Members:           t.Members(now),
	}
}

// MergeSummary merges the summary of another failure domain and reports whether it is newer than the known one.
func (t *Table) MergeSummary(s Summary, now time.Time) bool {
	if s.FailureDomain == t.failureDomain || s.Age < 0 || s.Age >= SummaryMaxAge {
		return false
	}
	r := t.remoteDomains[s.FailureDomain]
	if r == nil {
		r = &remoteDomain{origins: map[string]originState{}}
		t.remoteDomains[s.FailureDomain] = r
	}
	o := r.origins[s.Origin]
	if !isNewer(s.OriginIncarnation, s.Sequence, o.incarnation, o.sequence) {
		return false
	}
	r.pruneOrigins(now)
	r.origins[s.Origin] = originState{incarnation: s.OriginIncarnation, sequence: s.Sequence, receivedAt: now}
	if s.Origin != r.summary.Origin && hasOlderMembers(s.Members, r.summary.Members) {
		return false
	}
	s.Members = mergeMembers(s.Members, r.summary.Members)
	r.summary = s
	r.writtenAt = now.Add(-s.Age)
	return true
}

// pruneOrigins removes the origins without a summary within originRetention, so that the state per failure domain stays bounded.
func (r *remoteDomain) pruneOrigins(now time.Time) {
	for id, o := range r.origins {
		if now.Sub(o.receivedAt) > originRetention {
			delete(r.origins, id)
		}
	}
}

// hasOlderMembers reports whether a has an older state than b of at least one host and a newer state of none.
func hasOlderMembers(a, b []Member) bool {
	older := false
	for _, m := range a {
		known, ok := findMember(b, m.ID)
		if !ok {
			continue
		}
		if isNewer(m.Incarnation, m.Counter, known.Incarnation, known.Counter) {
			return false
		}
		older = older || isNewer(known.Incarnation, known.Counter, m.Incarnation, m.Counter)
	}
	return older
}

// mergeMembers returns the members of a, each replaced by the member of b if that one is newer.
func mergeMembers(a, b []Member) []Member {
	merged := slices.Clone(a)
	for i, m := range merged {
		if known, ok := findMember(b, m.ID); ok && isNewer(known.Incarnation, known.Counter, m.Incarnation, m.Counter) {
			merged[i] = known
		}
	}
	return merged
}

// findMember returns the member with the id, and false if there is none.
func findMember(members []Member, id string) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

// RemoteSummaries returns the summaries of the other failure domains that are younger than SummaryMaxAge, sorted by failure
// domain.
func (t *Table) RemoteSummaries(now time.Time) []Summary {
	return t.SummariesOtherThan(nil, now)
}

// SummariesOtherThan returns the current summaries whose version differs from the known one, sorted by failure domain. The
// receiver decides with MergeSummary which of the two is newer.
func (t *Table) SummariesOtherThan(known map[string]SummaryVersion, now time.Time) []Summary {
	var all []Summary
	for domain, r := range t.remoteDomains {
		version, ok := known[domain]
		if !r.isCurrent(now) || ok && version == r.summary.Version() {
			continue
		}
		s := r.summary
		s.Age = now.Sub(r.writtenAt)
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Summary) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return all
}

// SummaryVersions returns the versions of the current summaries. A request for summaries carries them, so that the response
// contains only summaries with other versions.
func (t *Table) SummaryVersions(now time.Time) map[string]SummaryVersion {
	versions := make(map[string]SummaryVersion, len(t.remoteDomains))
	for domain, r := range t.remoteDomains {
		if r.isCurrent(now) {
			versions[domain] = r.summary.Version()
		}
	}
	return versions
}

// Version returns the version that identifies the summary.
func (s Summary) Version() SummaryVersion {
	return SummaryVersion{Origin: s.Origin, Incarnation: s.OriginIncarnation, Sequence: s.Sequence}
}

// isCurrent reports whether there is a summary that is younger than SummaryMaxAge at now.
func (r *remoteDomain) isCurrent(now time.Time) bool {
	return r.summary.FailureDomain != "" && now.Sub(r.writtenAt) < SummaryMaxAge
}

// RetainFailureDomains removes the state of failure domains that are not in domains, the configured ones.
func (t *Table) RetainFailureDomains(domains []string) {
	for domain := range t.remoteDomains {
		if !slices.Contains(domains, domain) {
			delete(t.remoteDomains, domain)
		}
	}
}
