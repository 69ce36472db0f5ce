package measure

import "context"

// hotFactor is the work of the hot failure domain's callers as a multiple of its capacity.
const hotFactor = 1.5

// runHotDomain sends more work from the callers of one failure domain than it can run, while all others are idle. It has no
// target of its own; the latency shows how well work spills.
func runHotDomain(ctx context.Context, e *env) error {
	hot := e.domain(0, 0)
	factor := hotFactor * e.slotShare(hot) / e.shares.sum()
	_, err := e.measure(ctx, "hot "+hot, e.normal(factor, e.domainCallers(hot, 0)), e.options.Window, nil)
	if err != nil {
		return err
	}
	e.answered()
	return nil
}
