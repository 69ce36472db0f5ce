package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	standin "github.com/foxtailtack/foxtailtack/internal/standin/platform"
	"github.com/foxtailtack/foxtailtack/internal/store"
	"github.com/foxtailtack/foxtailtack/platform"
)

// callBytes is the number of bytes, in both directions, of calls over a kept connection.
type callBytes struct {
	// headRead reads a head of 128 change ids, headPoll polls it while it does not change.
	headRead, headPoll float64
	// listRead fetches the host list of the target size, listPoll fetches it while it does not change.
	listRead, listPoll float64
	// health and load are polls of a backend server.
	health, load float64
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, &l.bytes}, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// callRounds is the number of calls whose bytes are averaged.
const callRounds = 20

// measureCalls counts the bytes of the calls of the platform. The head has the size of one with 128 change ids.
func measureCalls(ctx context.Context) (callBytes, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return callBytes{}, err
	}
	counted := &countedListener{Listener: listener}
	p := standin.New()
	server := &http.Server{Handler: p, ReadHeaderTimeout: storeTimeout}
	go func() { _ = server.Serve(counted) }()
	defer func() { _ = server.Close() }()
	s := targetShape(0)
	for _, h := range document(s).Hosts {
		p.SetHost(h.ID, hostlist.Live)
	}
	for _, b := range document(s).BackendServers {
		p.SetHost(b.ID, hostlist.Live)
	}
	url := "http://" + listener.Addr().String()
	var c callBytes
	err = errors.Join(c.measureStore(ctx, platform.NewKeys(url, "foxtailtack/", storeTimeout), counted), c.measureList(ctx, url, counted))
	return c, err
}

// headBytes is the size of a stored head with 128 change ids and the parts of the target size.
const headBytes = 14 << 10

func (c *callBytes) measureStore(ctx context.Context, kv store.Store, counted *countedListener) error {
	if _, err := kv.CompareAndSwap(ctx, "head", make([]byte, headBytes), 0); err != nil {
		return err
	}
	var err error
	c.headRead, err = counted.mean(func() error {
		_, err := kv.Get(ctx, "head")
		return err
	})
	if err != nil {
		return err
	}
	c.headPoll, err = counted.mean(func() error {
		if _, err := kv.Watch(ctx, "head", 1, 0); !errors.Is(err, store.ErrNoChange) {
			return fmt.Errorf("poll of an unchanged head: %w", err)
		}
		return nil
	})
	return err
}

func (c *callBytes) measureList(ctx context.Context, url string, counted *countedListener) error {
	source := hostlist.NewHTTP(url, storeTimeout)
	before := counted.bytes.Load()
	if _, err := source.Fetch(ctx); err != nil {
		return err
	}
	c.listRead = float64(counted.bytes.Load() - before)
	var err error
	c.listPoll, err = counted.mean(func() error {
		_, err := source.Fetch(ctx)
		return err
	})
	return err
}

// mean returns the mean bytes of a call, after one that opens the connection.
func (l *countedListener) mean(call func() error) (float64, error) {
	if err := call(); err != nil {
		return 0, err
	}
	before := l.bytes.Load()
	for range callRounds {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(l.bytes.Load()-before) / callRounds, nil
}

// measurePolls counts the bytes of polls of a running backend server.
func (c *callBytes) measurePolls(d *deployment) error {
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, &bytes}, nil
	}
	transport := &http.Transport{DialContext: dial, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: time.Second}
	base := "http://" + d.document.BackendServers[0].Address.String()
	for path, into := range map[string]*float64{"/healthz": &c.health, "/load": &c.load} {
		bytes.Store(0)
		for range callRounds {
			if err := get(client, base+path); err != nil {
				return err
			}
		}
		*into = float64(bytes.Load()) / callRounds
	}
	return nil
}

func get(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
