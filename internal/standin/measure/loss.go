package measure

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"
)

// runLoseDomain kills all entry hosts and backend servers of a failure domain at once.
func runLoseDomain(ctx context.Context, e *env) error {
	lost := e.domain(1, 0)
	return e.lose(ctx, lost, func(domain string) bool { return domain == lost })
}

// runLoseRegion kills all entry hosts and backend servers of a region at once.
func runLoseRegion(ctx context.Context, e *env) error {
	region := e.fleet.Document.Regions[1].Name
	return e.lose(ctx, region, func(domain string) bool { return e.fleet.Snapshot().Region(domain) == region })
}

// settleTime is the time from the loss until the second half of the work is counted: the time until the platform's list
// confirms the loss, plus the time to live of look-up answers.
const settleTime = 5 * time.Second

// lose kills what stands in the failure domains for which gone is true, under load, and sends work again afterwards.
func (e *env) lose(ctx context.Context, name string, gone func(domain string) bool) error {
	callers := e.callers(0)
	streams := append(e.normal(1, callers), e.lookups(0.1, callers))
	dead := 2*e.options.Window + settleTime + pauseBetweenRuns
	_, err := e.measure(ctx, "loss of "+name, streams, e.options.Window, func() error {
		time.Sleep(e.options.Window / 3)
		e.killAll(gone, dead)
		return nil
	})
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	after, err := e.measure(ctx, "after the loss of "+name, streams, e.options.Window, nil)
	if err != nil {
		return err
	}
	e.lossFacts(after)
	time.Sleep(e.options.Window / 2)
	return nil
}

func (e *env) lossFacts(after run) {
	for _, s := range after.stats {
		e.report.fact(fmt.Sprintf("%s work answered in time after the loss", s.Name), "%.4f of the offered", ratio(float64(s.InTime), float64(s.Sent)))
	}
}

// killAll kills entry hosts and takes them off the platform's list. The backend servers close their listener and every
// connection for a time, as a killed process does, and open again so that their counts can be read.
func (e *env) killAll(gone func(domain string) bool, dead time.Duration) {
	hosts, servers := e.hosts(gone), e.backends(gone)
	var wg sync.WaitGroup
	for _, id := range hosts {
		wg.Go(func() { e.fleet.Hosts[id].Kill() })
	}
	for _, id := range servers {
		wg.Go(func() {
			// The call gets no answer, because its connection is closed too.
			_ = e.fleet.BackendSwitch(id, "die", url.Values{"for_ms": {fmt.Sprint(dead.Milliseconds())}})
		})
	}
	wg.Wait()
	for _, id := range append(hosts, servers...) {
		_ = e.fleet.ListHost(id, "removed")
	}
}
