package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/httpconn"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// maxResponseBytes limits the size of a response body. A policy with 160,000 blocks takes 10.3 MB.
const maxResponseBytes = 64 << 20

// dialTimeout limits the time to connect to a host that drops packets, so that time remains for the next address.
const dialTimeout = 2 * time.Second

// apiResponse is a complete response of an entry host.
type apiResponse struct {
	host   string
	status int
	header http.Header
	body   []byte
}

// apiRequest is a request to the administration API.
type apiRequest struct {
	method, path string
	query        url.Values
	header       map[string]string
	body         []byte
}

// connectionError reports that no entry host sent a response.
type connectionError struct {
	// mayHaveBeenReceived is true if a request may have reached an entry host.
	mayHaveBeenReceived bool
	// failures holds a text for each address, with the address and the reason.
	failures []string
}

func (e *connectionError) Error() string { return strings.Join(e.failures, "\n") }

// send sends a request to the addresses of -admin in turn until an entry host responds. It uses the next address only after a
// connection failure. It is safe to send a command more than once, because a command takes effect only once for a change id.
func (c *commandInvocation) send(ctx context.Context, request apiRequest) (*apiResponse, error) {
	addresses, err := c.parseAddresses()
	if err != nil {
		return nil, err
	}
	token, err := c.readToken()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	connectionFailure := &connectionError{}
	for _, address := range addresses {
		response, err := sendWithTimeout(ctx, c.addressTimeout(request, len(addresses)), address, token, request)
		if err == nil {
			return response, response.failure()
		}
		connectionFailure.failures = append(connectionFailure.failures, fmt.Sprintf("%s: %s", address, shortReason(err)))
		connectionFailure.mayHaveBeenReceived = connectionFailure.mayHaveBeenReceived || !isDialError(err)
	}
	return nil, connectionFailure
}

// addressTimeout returns the longest time to wait for one address. For a query, the timeout is divided among the addresses, so
// that an unresponsive entry host doesn't use up the time of the others. For a command, it is the whole timeout, because
// the outcome at a slow host is worth the wait.
func (c *commandInvocation) addressTimeout(request apiRequest, addressCount int) time.Duration {
	if request.method == http.MethodGet {
		return c.timeout / time.Duration(addressCount)
	}
	return c.timeout
}

// sendWithTimeout sends a request to one address and limits the time for it.
func sendWithTimeout(ctx context.Context, timeout time.Duration, address netip.AddrPort, token string, request apiRequest) (*apiResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return sendTo(ctx, address, token, request)
}

// parseAddresses returns the addresses of the -admin flag.
func (c *commandInvocation) parseAddresses() ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for text := range strings.SplitSeq(c.adminAddresses, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, usageError("-admin has %q, want IP addresses with port, separated by commas", text)
		}
		list = append(list, address)
	}
	return list, nil
}

// readToken returns the operator token from the file of the -token-file flag.
func (c *commandInvocation) readToken() (string, error) {
	if c.tokenFile == "" {
		return "", usageError("-token-file is missing, want the file with your operator token")
	}
	text, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", usageError("-token-file cannot be read: %v", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return "", usageError("-token-file %s wants one line with a token", c.tokenFile)
	}
	return token, nil
}

func sendTo(ctx context.Context, address netip.AddrPort, token string, request apiRequest) (*apiResponse, error) {
	target := url.URL{Scheme: "http", Host: address.String(), Path: request.path, RawQuery: request.query.Encode()}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, target.String(), bytes.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+token)
	for name, value := range request.header {
		httpRequest.Header.Set(name, value)
	}
	// Use a new connection for each request, so that the transport never resends a request by itself.
	dialer := &net.Dialer{Timeout: dialTimeout}
	client := &http.Client{Transport: httpconn.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext})}
	response, err := client.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	return &apiResponse{
		host:   response.Header.Get(admin.HeaderHost),
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}, nil
}

// failure returns the failure that the response reports, or nil if its HTTP status is 200.
func (a *apiResponse) failure() error {
	if a.status == http.StatusOK {
		return nil
	}
	f := &remoteFailure{host: a.host}
	if err := json.Unmarshal(a.body, &f.body); err != nil || f.body.Code == result.OK {
		return &localFailure{
			code:     result.Internal,
			name:     "not_an_entry_host",
			meaning:  "The address answered, but not as the administration API of an entry host.",
			message:  fmt.Sprintf("HTTP status %d", a.status),
			nextStep: "Check the addresses of -admin.",
		}
	}
	return f
}

// isDialError reports whether no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// shortReason returns the text of an error without the method and URL that the HTTP client adds.
func shortReason(err error) string {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no response within -timeout"
	}
	return err.Error()
}
