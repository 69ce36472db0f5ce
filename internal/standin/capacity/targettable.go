package capacity

// targetTables computes the target size from the slopes of this report.
func (r *Report) targetTables() string {
	return r.targetBytes() + r.targetProcessor() + r.targetMemory() + r.targetFleet()
}

// verdict marks a figure above its budget.
func verdict(value, budget float64) string {
	if value > budget {
		return "over"
	}
	return "within"
}

func (r *Report) targetBytes() string {
	t := newTable("Target size: KB a second of a host", "Computed. Sent and received; budget 14 KB a second.",
		"role", "heartbeats", "summaries", "changes", "polls", "platform", "sum", "budget")
	for _, e := range r.estimates() {
		t.row(e.role.String(), kilobytes(e.heartbeats.bytes()), kilobytes(e.summaries.bytes()), kilobytes(e.changes),
			kilobytes(e.polls), kilobytes(e.store), kilobytes(e.bytes()), verdict(e.bytes(), bytesBudget))
	}
	return t.String()
}

func (r *Report) targetProcessor() string {
	t := newTable("Target size: processor time of a host", "Computed, in % of a core; budget 2.5 %. Look-ups are not control work and stand apart.",
		"role", "failure domain of 27", "17 other failure domains", "changes", "polls", "sum", "budget", "look-ups")
	lookup := r.lookups[len(r.lookups)-1].processor.Seconds() * lookupsPerNode * 100
	for _, e := range r.estimates() {
		t.row(e.role.String(), percent(e.heartbeats.processor), percent(e.summaries.processor), percent(e.changeProcessor),
			percent(e.pollProcessor), percent(e.processor()), verdict(e.processor(), processorBudget), percent(lookup))
	}
	return t.String()
}

func (r *Report) targetMemory() string {
	t := newTable("Target size: resident memory of a host", "Computed, in MB; budget 32 MB.",
		"role", "failure domain of 27", "17 other failure domains", "160,000 blocks", "sum", "budget")
	for _, e := range r.estimates() {
		t.row(e.role.String(), megabytes(e.heartbeats.resident), megabytes(e.summaries.resident), megabytes(e.blocks),
			megabytes(e.resident()), verdict(e.resident(), residentBudget))
	}
	return t.String()
}

// Hosts of the deployments of today and events of an ordinary day at the target size.
const (
	hostsToday     = 9
	restartsPerDay = 120
	failuresPerDay = 2
)

func (r *Report) targetFleet() string {
	t := newTable("Target size: fleet", "Computed.", "figure", "today, 9 hosts", "480 hosts", "bound", "budget")
	calls := r.storeCalls()
	target := calls.at(2 * targetDomains)
	t.row("store calls/s, all hosts being delegates today", rate(calls.at(hostsToday)), rate(target), "2,000 reads/s", verdict(target, 2000))
	spread := r.spread()
	t.row("longest spread of a change, ms", "-", ms(spread), "11,000", verdict(float64(spread), float64(spreadBudget)))
	perDay := float64(restartsPerDay+failuresPerDay) / day.Seconds()
	policy := float64(r.policies[len(r.policies)-1].transferred)
	t.row("join traffic of 122 starts a day, KB/s over the fleet", "-", kilobytes(perDay*r.restart.bytes), "-", "-")
	t.row("policy for 122 starts a day, KB/s over the fleet", "-", kilobytes(perDay*policy), "-", "-")
	return t.String()
}
