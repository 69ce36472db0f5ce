package placement

const (
	// budgetShare is the share of the platform's retry budget that the hosts use. The rest is a margin because the platform's
	// windows do not start at the same time as those of the hosts.
	budgetShare = 0.7
)

// retryBudget limits the retries of this host for one service. Each host may use a share of its own requests plus an equal part
// of the constant slack, so the sum over all hosts stays within the platform's budget. The limit keeps retries from adding to the
// load that causes the failures.
type retryBudget struct {
	tokens float64
}

// credit adds tokens for a request of a caller.
func (b *retryBudget) credit(ratio, limit float64) { b.tokens = min(limit, b.tokens+budgetShare*ratio) }

// spend consumes a token and reports whether a retry may be sent.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
