package measure

import (
	"fmt"
	"strings"

	"github.com/foxtailtack/foxtailtack/internal/questionnaire"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// shares are the parts of a service's slots that its ranks use outside a flood.
type shares [rank.Count]float64

// peakShares returns the parts of the slots that the peaks of the answers use: requests a second times the mean time that each
// holds a slot, by all slots.
func peakShares(s questionnaire.Service) shares {
	slots := float64(s.BackendServers * s.Slots)
	ranks := [rank.Count]questionnaire.Rank{
		rank.Urgent: s.Ranks.Urgent, rank.Interactive: s.Ranks.Interactive, rank.Deferrable: s.Ranks.Deferrable,
	}
	var parts shares
	for r, answers := range ranks {
		parts[r] = answers.PeakPerSecond * answers.MeanMs / 1000 / slots
	}
	return parts
}

func (s shares) sum() float64 {
	total := 0.0
	for _, part := range s {
		total += part
	}
	return total
}

func (s shares) String() string {
	var parts []string
	for _, r := range rank.All() {
		parts = append(parts, fmt.Sprintf("%s %.3f", r, s[r]))
	}
	return strings.Join(parts, ", ")
}
