package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/httpconn"
)

// maxResponseBytes bounds the size of a response body. A list of 480 entry hosts and their backend servers is far smaller.
const maxResponseBytes = 4 << 20

// HTTP is a Source that uses the platform's HTTP/JSON protocol:
//
//	GET /v1/hosts    200 {"hosts":{"id":"live"|"leaving"}} with an optional ETag, 304 for an If-None-Match that is current
//
// With 480 entry hosts and 2,000 backend servers, a list has about 60 KB, and delegates fetch it every 2 s. It changes a
// few hundred times a day, so most responses are 304.
type HTTP struct {
	listURL string
	timeout time.Duration
	client  *http.Client
	now     func() time.Time

	mu sync.Mutex
	// latestList is the latest complete list with its ETag, which is empty if the platform sent none.
	latestList taggedHosts
}

// taggedHosts is the content of a complete response with its ETag.
type taggedHosts struct {
	etag  string
	hosts map[string]State
}

var _ Source = (*HTTP)(nil)

type listResponse struct {
	Hosts map[string]State `json:"hosts"`
}

// NewHTTP returns a Source for the platform at baseURL, for example http://192.0.2.10:8500. The timeout applies to each call.
func NewHTTP(baseURL string, timeout time.Duration) *HTTP {
	return &HTTP{
		listURL: strings.TrimRight(baseURL, "/") + "/v1/hosts",
		timeout: timeout,
		client:  &http.Client{Transport: httpconn.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute})},
		now:     time.Now,
	}
}

// Fetch implements Source. A list that is empty, truncated or has an unknown state is an error, because the absence of a host
// from a list counts as evidence that the host is gone.
func (h *HTTP) Fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.listURL, nil)
	if err != nil {
		return List{}, Error.Wrap(err)
	}
	last := h.loadLatest()
	if last.etag != "" {
		request.Header.Set("If-None-Match", last.etag)
	}
	// The list may be as old as the request. A time taken after the response would make it look more recent than it is.
	sentAt := h.now()
	response, err := h.client.Do(request)
	if err != nil {
		return List{}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified && last.etag != "" {
		return List{Hosts: last.hosts, FetchedAt: sentAt}, nil
	}
	hosts, err := readList(response)
	if err != nil {
		return List{}, err
	}
	h.storeLatest(taggedHosts{etag: response.Header.Get("ETag"), hosts: hosts})
	return List{Hosts: hosts, FetchedAt: sentAt}, nil
}

func (h *HTTP) loadLatest() taggedHosts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latestList
}

func (h *HTTP) storeLatest(list taggedHosts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latestList = list
}

func readList(response *http.Response) (map[string]State, error) {
	if response.StatusCode != http.StatusOK {
		return nil, Error.New("status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var list listResponse
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, Error.Wrap(err)
	}
	return list.Hosts, checkHosts(list.Hosts)
}

func checkHosts(hosts map[string]State) error {
	if len(hosts) == 0 {
		return Error.New("list has no host")
	}
	for id, state := range hosts {
		if state != Live && state != Leaving {
			return Error.New("host %q has the unknown state %q", id, state)
		}
	}
	return nil
}
