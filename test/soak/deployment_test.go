// Package soak runs entry hosts as processes against stand-ins, injects faults from outside them and checks what callers and
// backend servers see.
package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
	"github.com/foxtailtack/foxtailtack/internal/standin/network"
)

// slots is the number of requests that a backend server runs at once.
const slots = 6

// relaySource stands for the host's end of a relayed connection, so that a link can be cut one way.
var relaySource = netip.MustParseAddr("192.0.2.1")

// Bounds that the platform's pages set for a small deployment.
const (
	drainBound   = 2500 * time.Millisecond
	configBound  = 2500 * time.Millisecond
	stableWindow = 4 * time.Second
	stopGrace    = 6 * time.Second
	recoverBound = 15 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "foxtailtack")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/foxtailtack")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// host is an entry host process with its own path to the store.
type host struct {
	name     string
	settings string
	caller   netip.AddrPort
	ready    netip.AddrPort
	store    *network.Relay

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

// listenerNames are the settings of the addresses that a host listens on.
var listenerNames = []string{"caller_address", "ready_address", "lookup_address", "peer_address", "admin_address"}

// freeAddresses returns addresses whose ports are free now. Each host of each run of the soak has a loopback IP address of its
// own, or a port may be taken by a connection of another process before the host listens on it.
func freeAddresses(t *testing.T, run, number int) map[string]netip.AddrPort {
	t.Helper()
	ip := hostAddress(os.Getpid(), run, number)
	ports, err := network.FreePorts(ip, len(listenerNames))
	if err != nil {
		t.Fatal(err)
	}
	addresses := map[string]netip.AddrPort{}
	for i, name := range listenerNames {
		addresses[name] = ports[i]
	}
	return addresses
}

// runsAtOnce bounds the runs of one process whose hosts live at the same time.
const runsAtOnce = 8

// hostAddress returns the address of a host of a run of a process. Processes whose ids differ by less than 4,096 share none.
func hostAddress(process, run, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + process%128), byte(process/128%32*runsAtOnce + run%runsAtOnce), byte(10 + number)})
}

// Two soaks at once could share the address of a host, and one took a port that the other had chosen.
func TestSoaksAtOnceShareNoAddress(t *testing.T) {
	owner := map[netip.Addr][2]int{}
	for process := 20_000; process < 20_000+4096; process++ {
		for run := 1; run <= runsAtOnce; run++ {
			ip := hostAddress(process, run, 0)
			if other, taken := owner[ip]; taken {
				t.Fatalf("run %d of process %d has the address of run %d of process %d", run, process, other[1], other[0])
			}
			owner[ip] = [2]int{process, run}
		}
	}
}

func (d *deployment) newHost(i int) *host {
	t := d.t
	domain := fmt.Sprintf("d%d", i%2)
	addresses := freeAddresses(t, d.run, i)
	h := &host{name: fmt.Sprintf("h%d", i), caller: addresses["caller_address"], ready: addresses["ready_address"], store: network.New(openLink)}
	t.Cleanup(h.store.Close)
	store, err := h.store.Listen(netip.MustParseAddrPort("127.0.0.1:0"), d.storeAddress, relaySource)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "host_id = %q\nfailure_domain = %q\nregion = \"r\"\n", h.name, domain)
	fmt.Fprintf(&text, "store_address = %q\n", store)
	for key, address := range addresses {
		fmt.Fprintf(&text, "%s = %q\n", key, address)
	}
	fmt.Fprintf(&text, "[failure_domains]\nd0 = \"r\"\nd1 = \"r\"\n[bounds]\nstop_grace_ms = %d\nretry_slack = 60.0\n", stopGrace.Milliseconds())
	h.settings = filepath.Join(d.dir, h.name+".toml")
	if err := os.WriteFile(h.settings, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if h.log, err = os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.log.Close() })
	return h
}

func openLink(_, _ netip.Addr) network.Link { return network.Link{} }

// start runs the process unless it runs.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	process := exec.Command(binary, "gateway", "-settings", h.settings)
	process.Stdout, process.Stderr = h.log, h.log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited = process, exited
	go func() {
		_ = process.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.process = nil
		close(exited)
	}()
	return nil
}

// restart starts the host's process again.
func (d *deployment) restart(h *host) {
	if err := h.start(); err != nil {
		d.fail("host %s: %v", h.name, err)
	}
}

// signal sends a signal to the process, if it runs, and returns a channel that is closed at its end.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	_ = h.process.Process.Signal(s)
	return h.exited
}

func (h *host) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + h.ready.String() + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// run is one request at a backend server.
type run struct {
	server string
	at     time.Time
}

// ledger is what the backend servers saw of each request that they ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (l *ledger) add(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], run{server, time.Now()})
}

// server is a backend server behind a relay.
type server struct {
	id      string
	address string
	relay   *network.Relay
	http    *httptest.Server
	// running holds a token for each request that runs.
	running chan struct{}

	mu sync.Mutex
	// left is the time at which the store acknowledged that the server leaves, zero while it stays.
	left     time.Time
	sequence int
	misses   []string
}

func (d *deployment) newServer(i int) *server {
	s := &server{id: fmt.Sprintf("i-%d", i), relay: network.New(openLink), running: make(chan struct{}, slots)}
	s.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(s, w, r) }))
	target := netip.MustParseAddrPort(strings.TrimPrefix(s.http.URL, "http://"))
	address, err := s.relay.Listen(netip.MustParseAddrPort("127.0.0.1:0"), target, relaySource)
	if err != nil {
		d.t.Fatal(err)
	}
	s.address = address.String()
	d.t.Cleanup(func() {
		s.relay.Close()
		s.http.CloseClientConnections()
		s.http.Close()
	})
	return s
}

// serve answers a request as a backend server does, and as the current faults say.
func (d *deployment) serve(s *server, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.noteArrival(d, id)
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	default:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.ledger.add(id, s.id)
	time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
	switch fault := d.answers.Load(); {
	case fault > 0 && rand.IntN(100) < int(fault):
		panic(http.ErrAbortHandler)
	case fault < 0 && rand.IntN(100) < int(-fault):
		w.Header().Set("X-Request-Id", "another-"+id)
	}
	w.Header().Set("X-Server-Stamp", s.id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(s.running), slots))
	_, _ = fmt.Fprintf(w, "%s %s", id, body)
}

// noteArrival records a request that reaches the server after its bound.
func (s *server) noteArrival(d *deployment, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late := time.Since(s.left); !s.left.IsZero() && late > drainBound && d.calmFor(stableWindow) {
		s.misses = append(s.misses, fmt.Sprintf("request %s reached %s %v after its drain notice", id, s.id, late))
	}
}

// put writes the server's entry.
func (s *server) put(kv *kvstore.Store, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	kv.Put("servers/"+s.id, fmt.Sprintf(`{"Service":"s","Addr":%q,"Zone":"d0","Slots":%d,"State":%q,"ColdLeftMs":0,"Seq":%d,"born":1}`, s.address, slots, state, s.sequence))
	if state == "draining" {
		s.left = time.Now()
	} else {
		s.left = time.Time{}
	}
}
