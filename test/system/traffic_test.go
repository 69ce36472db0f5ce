package system

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// requestTimeout is the timeout that callers set on each request.
const requestTimeout = 1200 * time.Millisecond

// rejectionPause is the time that a worker waits after a request without a response of a backend server, such as a rejected one.
const rejectionPause = 20 * time.Millisecond

// record is a request together with the result that its caller got.
type record struct {
	request  load.Request
	result   load.Result
	response backendserver.Answer
	// target is the host that the request was sent to; empty if the caller's lookup chose the host.
	target string
}

func (s record) isPayment() bool { return s.request.Method == http.MethodPost }

// outcomeUnknown reports whether the caller cannot tell if the request ran.
func (s record) outcomeUnknown() bool { return !s.result.Answered() && !s.result.NotRun() }

// traffic sends requests until it is stopped and records every result.
type traffic struct {
	d        *deployment
	stop     chan struct{}
	stopOnce sync.Once
	workers  sync.WaitGroup

	mu      sync.Mutex
	records []record
}

// startTraffic starts the given number of workers for each failure domain. Each worker sends one request at a time; up to four
// workers share a caller.
func (d *deployment) startTraffic(workers map[string]int) *traffic {
	tr := &traffic{d: d, stop: make(chan struct{})}
	d.t.Cleanup(tr.stopWorkers)
	for domain, count := range workers {
		var addresses []string
		for _, id := range d.Snapshot().HostsIn(domain) {
			addresses = append(addresses, d.Snapshot().Host(id).CallerAddress.String())
		}
		for range (count + 3) / 4 {
			caller := load.NewCaller(addresses, clientBlocks[domain].Addr().Next().String())
			for range min(count, 4) {
				tr.workers.Go(func() { tr.runWorker(caller) })
			}
		}
	}
	return tr
}

// Workers by failure domain. lightLoad uses only part of the slots, so that no request has to be rejected. heavyLoad needs more
// slots than there are.
var (
	lightLoad = map[string]int{"east-1": 4, "east-2": 4, "west-1": 4}
	heavyLoad = map[string]int{"east-1": 28, "east-2": 8, "west-1": 8}
)

// runWorker alternates between payment and find requests. Half of the find requests have an idempotency key, so that their
// executions can be counted.
func (tr *traffic) runWorker(caller *load.Caller) {
	for i := 0; ; i++ {
		select {
		case <-tr.stop:
			return
		default:
		}
		request := newPaymentRequest()
		if i%2 == 1 {
			request = newFindRequest(i%4 == 1)
		}
		if s := tr.recordResult(request, caller.Send(context.Background(), request)); !s.result.Answered() {
			time.Sleep(rejectionPause)
		}
	}
}

func newPaymentRequest() load.Request {
	id := uuid.NewString()
	return load.Request{
		Service: service, Method: http.MethodPost, Path: "/pay/" + id, Token: fleet.PayingToken,
		IdempotencyKey: id, Body: []byte("amount for " + id), Timeout: requestTimeout,
	}
}

func newFindRequest(keyed bool) load.Request {
	id := uuid.NewString()
	request := load.Request{Service: service, Method: http.MethodGet, Path: "/find/" + id + "?q=a%20b", Token: fleet.MemberToken, Timeout: requestTimeout}
	if keyed {
		request.IdempotencyKey = id
	}
	return request
}

func (tr *traffic) recordResult(request load.Request, result load.Result) record {
	return tr.add(record{request: request, result: result})
}

func (tr *traffic) add(s record) record {
	if s.result.Answered() {
		_ = json.Unmarshal(s.result.Body, &s.response)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.records = append(tr.records, s)
	return s
}

// countResponses returns the number of responses received through a host so far; an empty id means all hosts.
func (tr *traffic) countResponses(host string) int {
	return tr.count(func(s record) bool { return s.result.Answered() && (host == "" || s.result.Host == host) })
}

// countUnknown returns the number of requests with an unknown outcome.
func (tr *traffic) countUnknown() int { return tr.count(record.outcomeUnknown) }

// checkNoneLost reports each request that was interrupted and each for which no entry host could be reached.
func (tr *traffic) checkNoneLost() {
	tr.d.t.Helper()
	for _, s := range tr.records {
		if s.outcomeUnknown() || s.result.Code == -1 {
			tr.d.t.Errorf("%s was interrupted or lost: code %d, %v", s.request.Path, s.result.Code, s.result.Err)
		}
	}
}

func (tr *traffic) count(match func(record) bool) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, s := range tr.records {
		if match(s) {
			n++
		}
	}
	return n
}

// waitResponses waits, for one host after the other, until the given number of further responses has been received through it.
func (tr *traffic) waitResponses(more int, hosts ...string) {
	tr.d.t.Helper()
	for _, id := range hosts {
		from := tr.countResponses(id)
		tr.d.waitFor("more responses through "+id, func() bool { return tr.countResponses(id) >= from+more })
	}
}

// stopWorkers stops the workers and waits for their last results.
func (tr *traffic) stopWorkers() {
	tr.stopOnce.Do(func() { close(tr.stop) })
	tr.workers.Wait()
}

// stopAndCheck stops the workers and checks the guarantees that hold in every test: no backend server got more concurrent requests
// than it has slots, no payment ran twice, no request that was rejected as not run has run, and each response is complete and
// belongs to its request.
func (tr *traffic) stopAndCheck() {
	tr.d.t.Helper()
	tr.stopWorkers()
	tr.d.waitIdle()
	totals, err := tr.d.BackendTotals()
	tr.d.requireNoError(err)
	tr.d.checkNoOverload()
	codes := map[int]int{}
	for _, s := range tr.records {
		codes[s.result.Code]++
		tr.checkRecord(s, totals.ByKey)
	}
	tr.d.t.Logf("%d requests, %d responses, %d unknown outcomes, %d executions; results by code: %v", len(tr.records), tr.countResponses(""), tr.countUnknown(), totals.Executions, codes)
}

// checkNoOverload reports requests that arrived at a backend server while all of its slots were in use.
func (d *deployment) checkNoOverload() {
	d.t.Helper()
	totals, err := d.BackendTotals()
	d.requireNoError(err)
	if totals.Overload > 0 {
		d.t.Errorf("%d requests arrived at a backend server without a free slot", totals.Overload)
	}
}

// checkRecord compares the result of a request with the executions that the backend servers counted by idempotency key.
func (tr *traffic) checkRecord(s record, executions map[string]int) {
	tr.d.t.Helper()
	key := s.request.IdempotencyKey
	switch {
	case s.isPayment() && executions[key] > 1:
		tr.d.t.Errorf("payment %s ran %d times", key, executions[key])
	case s.result.NotRun() && executions[key] > 0:
		tr.d.t.Errorf("%s was rejected with code %d as not run, but ran", s.request.Path, s.result.Code)
	case s.result.Code >= 4000 && s.result.Code != 5002:
		tr.d.t.Errorf("%s got code %d", s.request.Path, s.result.Code)
	case s.result.Answered() && !isOwnResponse(s):
		tr.d.t.Errorf("%s got status %d and an incomplete or foreign response: %.200q", s.request.Path, s.result.Status, s.result.Body)
	case s.result.Answered() && key != "" && executions[key] == 0:
		tr.d.t.Errorf("%s got a response but did not run", s.request.Path)
	}
}

// isOwnResponse reports whether the response is complete and echoes the method, path and body of its request.
func isOwnResponse(s record) bool {
	return s.result.Status == http.StatusOK && s.result.Host != "" && strings.HasSuffix(string(s.result.Body), "}") &&
		s.response.Method == s.request.Method && s.response.Path == s.request.Path && s.response.Body == string(s.request.Body)
}
