package policy

import "fmt"

// ValidateChange checks that next makes only changes that are allowed from one version to the next. Every document is
// allowed if previous is nil. The error is an *InvalidError.
//
// Hosts and backend servers keep their identity, because two entry hosts may hold different versions for some seconds
// and must still agree on which host may use a slot. A new host has to be added as retired first, because a peer whose
// version does not list the host yet could use the slots of that host.
func ValidateChange(previous, next *Document) error {
	if previous == nil {
		return nil
	}
	var problems []Problem
	problems = append(problems, checkTimingChanges(timingWithDefaults(previous), timingWithDefaults(next))...)
	problems = append(problems, checkHostChanges(previous, next)...)
	problems = append(problems, checkBackendChanges(previous, next)...)
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// timingWithDefaults returns the timing of a document with defaults filled in, so that a document that states a default
// value equals one that omits it.
func timingWithDefaults(doc *Document) Timing {
	filled := Document{Timing: doc.Timing}
	FillDefaults(&filled)
	return filled.Timing
}

func checkTimingChanges(previous, next Timing) []Problem {
	var problems []Problem
	check := func(key string, previousValue, nextValue int) {
		if previousValue != nextValue {
			want := fmt.Sprintf("want %d as in the first version; hosts with different versions must agree on it", previousValue)
			problems = append(problems, Problem{"timing." + key, fmt.Sprint(nextValue), want})
		}
	}
	check("host_list_max_lag_ms", previous.HostListMaxLagMs, next.HostListMaxLagMs)
	check("evidence_max_age_ms", previous.EvidenceMaxAgeMs, next.EvidenceMaxAgeMs)
	check("pause_limit_ms", previous.PauseLimitMs, next.PauseLimitMs)
	check("max_request_ms", previous.MaxRequestMs, next.MaxRequestMs)
	return problems
}

func checkHostChanges(previous, next *Document) []Problem {
	previousIDs := make(map[string]bool, len(previous.Hosts))
	for _, h := range previous.Hosts {
		previousIDs[h.ID] = true
	}
	nextByID := make(map[string]*Host, len(next.Hosts))
	for i := range next.Hosts {
		nextByID[next.Hosts[i].ID] = &next.Hosts[i]
	}
	var problems []Problem
	for _, h := range previous.Hosts {
		nextHost, ok := nextByID[h.ID]
		if !ok && !h.Retired {
			problems = append(problems, Problem{"hosts", h.ID, "want the host marked as retired in a version before its entry is removed"})
		}
		if ok && nextHost.FailureDomain != h.FailureDomain {
			problems = append(problems, Problem{"hosts[" + h.ID + "].failure_domain", nextHost.FailureDomain, "want " + h.FailureDomain + "; use a new id for a host elsewhere"})
		}
	}
	for _, h := range next.Hosts {
		if !previousIDs[h.ID] && !h.Retired {
			problems = append(problems, Problem{"hosts", h.ID, "want a new host added as retired; clear the mark in a later version, when this one is in force on all hosts of " + h.FailureDomain})
		}
	}
	return problems
}

func checkBackendChanges(previous, next *Document) []Problem {
	nextByID := make(map[string]*BackendServer, len(next.BackendServers))
	for i := range next.BackendServers {
		nextByID[next.BackendServers[i].ID] = &next.BackendServers[i]
	}
	var problems []Problem
	for _, b := range previous.BackendServers {
		nextServer, ok := nextByID[b.ID]
		if !ok {
			continue
		}
		if nextServer.FailureDomain != b.FailureDomain {
			problems = append(problems, Problem{"backend_servers[" + b.ID + "].failure_domain", nextServer.FailureDomain, "want " + b.FailureDomain + "; use a new id for a server elsewhere"})
		}
		if nextServer.Address != b.Address {
			problems = append(problems, Problem{"backend_servers[" + b.ID + "].address", nextServer.Address.String(), "want " + b.Address.String() + "; use a new id for a new address"})
		}
	}
	return problems
}
