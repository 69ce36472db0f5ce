package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
)

// directPause is the time between two pairs of calls, so that they meet an idle deployment.
const directPause = 2 * time.Millisecond

// directWorkers is the number of pairs at once. Direct calls are not counted by entry hosts, so there are no more than a
// backend server of either deployment has slots.
const directWorkers = 3

// path compares the two ways to a backend server.
type path struct {
	direct, through           string
	directTimes, throughTimes *hdrhistogram.Histogram
}

// runDirect compares a lookup sent to a backend server with the same lookup sent through an entry host of its failure domain.
// The two kinds alternate, so that the state of the machine is the same for both.
func runDirect(ctx context.Context, e *env) error {
	domain := e.domain(0, 1)
	host := e.fleet.Snapshot().Host(e.hosts(func(d string) bool { return d == domain })[0])
	server := e.fleet.Snapshot().BackendServersIn(domain, e.first().Name)[0]
	p := &path{
		direct:       "http://" + server.Address.String() + "/lookup",
		through:      "http://" + host.CallerAddress.String() + "/s/" + e.first().Name + "/lookup",
		directTimes:  hdrhistogram.New(1, 60_000_000, 3),
		throughTimes: hdrhistogram.New(1, 60_000_000, 3),
	}
	if err := p.measure(ctx, e.options.Window); err != nil {
		return err
	}
	service := e.fleet.Options.ServiceTime[e.first().Name]
	for _, q := range []float64{50, 99} {
		e.report.fact(fmt.Sprintf("p%g of a lookup, service time %s", q, service), "%s", p.compare(q))
	}
	e.report.fact("Pairs of calls", "%d", p.directTimes.TotalCount())
	return nil
}

// measure runs the workers for a time.
func (p *path) measure(ctx context.Context, window time.Duration) error {
	var mu sync.Mutex
	var workers errgroup.Group
	for range directWorkers {
		workers.Go(func() error { return p.work(ctx, time.Now().Add(window), &mu) })
	}
	return workers.Wait()
}

func (p *path) work(ctx context.Context, end time.Time, mu *sync.Mutex) error {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
	for ; time.Now().Before(end) && ctx.Err() == nil; time.Sleep(directPause) {
		direct, err := timedGet(client, p.direct)
		if err != nil {
			return err
		}
		through, err := timedGet(client, p.through)
		if err != nil {
			return err
		}
		mu.Lock()
		_ = p.directTimes.RecordValue(direct.Microseconds())
		_ = p.throughTimes.RecordValue(through.Microseconds())
		mu.Unlock()
	}
	return nil
}

// compare writes a quantile of both ways.
func (p *path) compare(q float64) string {
	direct := float64(p.directTimes.ValueAtQuantile(q)) / 1000
	through := float64(p.throughTimes.ValueAtQuantile(q)) / 1000
	return fmt.Sprintf("direct %.2f ms, through one entry host %.2f ms, added %.2f ms, ratio %.3f", direct, through, through-direct, ratio(through, direct))
}

func timedGet(client *http.Client, url string) (time.Duration, error) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.MemberToken)
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s answered %s", url, response.Status)
	}
	return time.Since(started), nil
}
