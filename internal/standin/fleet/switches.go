package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
	"github.com/foxtailtack/foxtailtack/internal/standin/platform"
)

// A stand-in has ten seconds to start on a busy machine.
const (
	startTries = 500
	startPause = 20 * time.Millisecond
)

// post uses a switch of a stand-in.
func (f *Fleet) post(base, path string, parameters url.Values) error {
	response, err := f.http.Post(base+"/standin/"+path+"?"+parameters.Encode(), "", nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("switch %s answered %s", path, response.Status)
	}
	return nil
}

func (f *Fleet) get(url string, into any) error {
	response, err := f.http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// retry repeats a step for some seconds, for a stand-in that has just been started.
func (f *Fleet) retry(step func() error) error {
	var err error
	for range startTries {
		if err = step(); err == nil {
			return nil
		}
		time.Sleep(startPause)
	}
	return err
}

// PlatformSwitch uses a switch of the platform's stand-in, for example "down" with mode=refuse.
func (f *Fleet) PlatformSwitch(path string, parameters url.Values) error {
	return f.post(f.PlatformURL, path, parameters)
}

// PlatformStats returns the calls that the platform counted.
func (f *Fleet) PlatformStats() (platform.Stats, error) {
	var stats platform.Stats
	err := f.get(f.PlatformURL+"/standin/stats", &stats)
	return stats, err
}

// listHost sets what the platform's list says of a host or backend server: live, leaving or removed. The platform may
// still be starting.
func (f *Fleet) listHost(id, state string) error {
	return f.retry(func() error {
		return f.PlatformSwitch("hosts/"+id, url.Values{"state": {state}})
	})
}

// ListHost sets what the platform's list says of a host or backend server: live, leaving or removed.
func (f *Fleet) ListHost(id, state string) error { return f.listHost(id, state) }

// BackendSwitch uses a switch of a backend server's stand-in, for example "fault" with name=stall.
func (f *Fleet) BackendSwitch(id, path string, parameters url.Values) error {
	return f.post("http://"+f.snapshot.BackendServer(id).Address.String(), path, parameters)
}

// BackendStats returns what a backend server counted.
func (f *Fleet) BackendStats(id string) (backendserver.Stats, error) {
	var stats backendserver.Stats
	err := f.get("http://"+f.snapshot.BackendServer(id).Address.String()+"/standin/stats", &stats)
	return stats, err
}

// BackendLoad returns the number of requests that run at a backend server.
func (f *Fleet) BackendLoad(id string) (int, error) {
	var report backendserver.LoadReport
	err := f.get("http://"+f.snapshot.BackendServer(id).Address.String()+"/load", &report)
	return report.InUse, err
}

// Totals sums what the running backend servers counted.
type Totals struct {
	Executions int
	// Overload is the number of requests that arrived at a backend server with all slots taken.
	Overload int
	// Duplicates lists idempotency keys that ran more than once, also on different backend servers.
	Duplicates []string
	// ByKey counts executions by idempotency key.
	ByKey map[string]int
}

// BackendTotals sums the counts of all running backend servers.
func (f *Fleet) BackendTotals() (Totals, error) {
	totals := Totals{ByKey: map[string]int{}}
	for id, p := range f.Backends {
		if !p.Running() {
			continue
		}
		stats, err := f.BackendStats(id)
		if err != nil {
			return totals, err
		}
		totals.Executions += stats.Executions
		totals.Overload += stats.Overload
		for key, n := range stats.ByKey {
			totals.ByKey[key] += n
		}
	}
	for key, n := range totals.ByKey {
		if n > 1 {
			totals.Duplicates = append(totals.Duplicates, "key "+key)
		}
	}
	return totals, nil
}
