package placement

const (
	// budgetUse is the part of the platform's retry budget that the hosts spend; the rest covers the borders of its windows.
	budgetUse = 0.7
)

// retryBudget bounds the repeats of this host for one service. The sum over all hosts stays within the platform's budget: a
// share of the own requests, and an equal part of the constant. It answers floods of failures, in which repeats would add to
// the load that causes them.
type retryBudget struct {
	tokens float64
}

// request credits a request of a caller.
func (b *retryBudget) request(ratio, most float64) { b.tokens = min(most, b.tokens+budgetUse*ratio) }

// spend reports whether a repeat may be sent.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
