package system

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// directClient opens a new connection for each request, so that no request is sent on a connection that the host has closed.
var directClient = &http.Client{
	Timeout:   requestTimeout + 3*time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// sendTo sends a request to the given host, like a caller that still uses a cached lookup response, and records the result.
func (tr *traffic) sendTo(host string, request load.Request) record {
	return tr.add(record{request: request, result: tr.d.sendTo(host, request), target: host})
}

func (d *deployment) sendTo(host string, request load.Request) load.Result {
	url := "http://" + d.Snapshot().Host(host).CallerAddress.String() + "/s/" + request.Service + request.Path
	r, err := http.NewRequest(request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return load.Result{Err: err}
	}
	r.Header.Set("Foxtailtack-Timeout-Ms", strconv.FormatInt(request.Timeout.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+request.Token)
	if request.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	response, err := directClient.Do(r)
	if err != nil {
		return load.Result{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	number, _, _ := strings.Cut(response.Header.Get("Foxtailtack-Result"), " ")
	code, codeErr := strconv.Atoi(number)
	if codeErr != nil {
		code = 5001
	}
	return load.Result{Code: code, Status: response.StatusCode, Host: response.Header.Get("Foxtailtack-Host"), Body: body, Err: err}
}

// startDirectWorkers starts workers that send payment and find requests to one host only. They stop with the other workers.
func (tr *traffic) startDirectWorkers(host string, workers int) {
	for range workers {
		tr.workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-tr.stop:
					return
				default:
				}
				request := newPaymentRequest()
				if i%2 == 1 {
					request = newFindRequest(false)
				}
				if s := tr.sendTo(host, request); !s.result.Answered() {
					time.Sleep(rejectionPause)
				}
			}
		})
	}
}
