// Package load stands in for callers: it asks entry hosts for look-ups, caches the answers as callers do, sends requests at a
// steady rate whatever the answers are, and counts the results by rank.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
)

// Request is one request of a caller.
type Request struct {
	Service string
	Method  string
	// Path follows /s/{service}.
	Path           string
	Token          string
	IdempotencyKey string
	Body           []byte
	Timeout        time.Duration
	TraceParent    string
}

// Result is what the caller saw.
type Result struct {
	// Code is the result code of the entry host; 0 is an answer of a backend server, -1 means that no entry host answered.
	Code    int
	Status  int
	Host    string
	Latency time.Duration
	Body    []byte
	// Err is set when the connection to the entry host broke after the request may have been read.
	Err error
}

// Answered reports whether the backend server's whole answer arrived.
func (r Result) Answered() bool { return r.Code == 0 && r.Err == nil }

// NotRun reports whether the entry host promised that the request was not run, or no connection could be opened.
func (r Result) NotRun() bool {
	return r.Err == nil && (r.Code == -1 || r.Code >= 1000 && r.Code < 3000 || r.Code == 5002)
}

// Caller is one caller with its cache of look-up answers.
type Caller struct {
	// Bootstrap lists entry hosts for the first look-up, as host:port.
	Bootstrap []string
	// Client is the address of the caller's block that it gives in look-ups; empty means its own.
	Client string

	http *http.Client

	mu    sync.Mutex
	cache map[string]cached
}

type cached struct {
	answer  lookup.Response
	expires time.Time
}

// NewCaller returns a caller with connections of its own.
func NewCaller(bootstrap []string, client string) *Caller {
	return NewCallerAt(bootstrap, client, netip.Addr{})
}

// NewCallerAt returns a caller that sends from the source address; one that is not valid leaves the choice to the kernel.
// Entry hosts tell callers without credentials by their address.
func NewCallerAt(bootstrap []string, client string, source netip.Addr) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	if source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         dialer.DialContext,
	}
	return &Caller{Bootstrap: bootstrap, Client: client, http: &http.Client{Transport: transport}, cache: map[string]cached{}}
}

// Lookup returns the cached or a fresh answer. An expired one is used while no entry host answers.
func (c *Caller) Lookup(ctx context.Context, service string) (lookup.Response, error) {
	c.mu.Lock()
	known := c.cache[service]
	c.mu.Unlock()
	if time.Now().Before(known.expires) {
		return known.answer, nil
	}
	var last error
	for _, address := range c.lookupHosts(known.answer) {
		asked := time.Now()
		answer, err := c.fetch(ctx, address, service)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.cache[service] = cached{answer, asked.Add(time.Duration(answer.TTLMs) * time.Millisecond)}
		c.mu.Unlock()
		return answer, nil
	}
	if len(known.answer.Hosts) > 0 {
		return known.answer, nil
	}
	return lookup.Response{}, fmt.Errorf("no entry host answered the look-up: %w", last)
}

func (c *Caller) lookupHosts(known lookup.Response) []string {
	var hosts []string
	for _, h := range known.Hosts {
		hosts = append(hosts, h.Address.String())
	}
	start := rand.IntN(len(c.Bootstrap))
	return append(append(hosts, c.Bootstrap[start:]...), c.Bootstrap[:start]...)
}

func (c *Caller) fetch(ctx context.Context, address, service string) (lookup.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	query := url.Values{"service": {service}}
	if c.Client != "" {
		query.Set("client", c.Client)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/lookup?"+query.Encode(), nil)
	if err != nil {
		return lookup.Response{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return lookup.Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return lookup.Response{}, fmt.Errorf("look-up status %d", response.StatusCode)
	}
	var answer lookup.Response
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

// Send sends a request to one of the hosts of the look-up answer by weight, and to the next one if no connection could be opened
// or the host is leaving.
func (c *Caller) Send(ctx context.Context, request Request) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, request.Timeout+time.Second)
	defer cancel()
	answer, err := c.Lookup(ctx, request.Service)
	if err != nil {
		return Result{Code: -1, Latency: time.Since(start)}
	}
	result := Result{Code: -1}
	for _, address := range order(answer) {
		result = c.try(ctx, address, request)
		if result.Code != -1 && result.Code != 2004 && result.Code != 5002 {
			break
		}
	}
	result.Latency = time.Since(start)
	return result
}

// order puts one host, drawn by weight, first. The others follow in the order of the answer, for use after a failure.
func order(answer lookup.Response) []string {
	total := 0
	for _, h := range answer.Hosts {
		total += h.Weight
	}
	first := 0
	for at := rand.IntN(max(total, 1)); first < len(answer.Hosts)-1 && at >= answer.Hosts[first].Weight; first++ {
		at -= answer.Hosts[first].Weight
	}
	var addresses []string
	for i, h := range answer.Hosts {
		if i == first {
			addresses = append([]string{h.Address.String()}, addresses...)
		} else {
			addresses = append(addresses, h.Address.String())
		}
	}
	return addresses
}

// singleUse hides the type of a body. The Transport sends a request again on its own if it has GetBody, or a body that it knows to
// be empty; the caller would then not know of the first try, which may have run.
type singleUse struct{ io.Reader }

func (c *Caller) try(ctx context.Context, address string, request Request) Result {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+"/s/"+request.Service+request.Path, singleUse{bytes.NewReader(request.Body)})
	if err != nil {
		return Result{Err: err}
	}
	httpRequest.ContentLength = int64(len(request.Body))
	httpRequest.Header.Set("Foxtailtack-Timeout-Ms", strconv.FormatInt(request.Timeout.Milliseconds(), 10))
	setIf(httpRequest.Header, "Idempotency-Key", request.IdempotencyKey)
	setIf(httpRequest.Header, "traceparent", request.TraceParent)
	if request.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+request.Token)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{Err: err}
	}
	return Result{
		Code:   resultCode(response.Header.Get("Foxtailtack-Result")),
		Status: response.StatusCode,
		Host:   response.Header.Get("Foxtailtack-Host"),
		Body:   body,
	}
}

func setIf(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func failed(err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Result{Code: -1}
	}
	return Result{Err: err}
}

// resultCode reads the number of a header such as "2001 no_capacity".
func resultCode(header string) int {
	number, _, _ := strings.Cut(header, " ")
	code, err := strconv.Atoi(number)
	if err != nil {
		return 0
	}
	return code
}
