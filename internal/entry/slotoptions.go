package entry

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// slotOptions returns the bounds that the slot rules depend on, as set by a policy.
func slotOptions(snapshot *policy.Snapshot) slots.Options {
	timing := snapshot.Document.Timing
	return slots.Options{
		HostListMaxLag: timing.HostListMaxLag(),
		EvidenceMaxAge: timing.EvidenceMaxAge(),
		MaxRequest:     timing.MaxRequest() + forward.SlotHoldTime,
		PauseLimit:     timing.PauseLimit(),
	}
}

// defaultSlotOptions returns the bounds in force until the first policy. A process without a policy uses no slots.
func defaultSlotOptions() slots.Options {
	return slots.Options{
		HostListMaxLag: 10 * time.Second,
		EvidenceMaxAge: 5 * time.Second,
		MaxRequest:     5 * time.Second,
		PauseLimit:     time.Second,
	}
}
