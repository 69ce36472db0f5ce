package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lookupConnections is the number of connections of the look-up load.
const lookupConnections = 8

// lookups is the cost of look-ups over HTTP at one entry host.
type lookups struct {
	blocks int
	// perSecond is the measured rate, and processor the processor time of the host for one look-up.
	perSecond float64
	processor time.Duration
}

// measureLookups loads one entry host with look-ups over kept connections.
func (o Options) measureLookups(ctx context.Context, d *deployment) (lookups, error) {
	host := d.Hosts[hostID(0, 0)]
	before, _, err := host.Usage()
	if err != nil {
		return lookups{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Window/2)
	defer cancel()
	start := time.Now()
	count, failed := load(ctx, "http://"+d.CallerAddresses("")[0], d.shape.blocks)
	elapsed := time.Since(start)
	after, _, err := host.Usage()
	if err != nil {
		return lookups{}, err
	}
	if failed > 0 || count == 0 {
		return lookups{}, fmt.Errorf("%d of %d look-ups failed", failed, count+failed)
	}
	return lookups{
		blocks:    d.shape.blocks,
		perSecond: float64(count) / elapsed.Seconds(),
		processor: (after - before) / time.Duration(count),
	}, nil
}

// load sends look-ups until ctx ends and counts the answers.
func load(ctx context.Context, base string, blocks int) (answered, failed int64) {
	var good, bad atomic.Int64
	var group sync.WaitGroup
	for c := range lookupConnections {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := c; ctx.Err() == nil; i += lookupConnections {
				if lookUp(client, base, i*7907%blocks) {
					good.Add(1)
				} else {
					bad.Add(1)
				}
			}
		})
	}
	group.Wait()
	return good.Load(), bad.Load()
}

func lookUp(client *http.Client, base string, n int) bool {
	target := fmt.Sprintf("%s/v1/lookup?service=%s&client=%s", base, serviceName(0), block(n, 1).Prefix.Addr().Next())
	response, err := client.Get(target)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
