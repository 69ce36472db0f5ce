//go:build review3

// Command standin3 plays the cases of the third review: it starts entry hosts as separate processes and stands in for the platform's store,
// backend servers and callers. It is not part of the product and not of the default build.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
)

const (
	heartbeat = 1500 * time.Millisecond
	// stableWindow is StableWindowMs of the site.
	stableWindow = 3 * time.Second
	// checkMargin is added to the bounds, for the clock of this process and the way of a request.
	checkMargin = 100 * time.Millisecond
	// restartDelay is the time after which the platform starts a process that has ended.
	restartDelay = 500 * time.Millisecond
)

// bounds are those of the site kahva-coop, as deploy/host.toml.tmpl writes them.
const bounds = `[bounds]
stop_grace_ms = 6000
lookup_ttl_ms = 5000
stable_window_ms = 3000
configuration_ms = 2000
drain_ms = 2000
evacuation_ms = 5000
retry_ratio = 0.2
retry_slack = 56
`

// world is one deployment with its processes.
type world struct {
	dir     string
	program string
	record  *record
	store   *kvstore.Store
	storeAt string
	domains map[string]string

	mu    sync.Mutex
	hosts []*host
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		panic(cannotRun{})
	}
}

type cannotRun struct{}

// network is the first half of the addresses of this run, so that runs beside each other do not take each other's ports.
var network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))

func listen() net.Listener {
	l, err := net.Listen("tcp", network+".1:0")
	check(err)
	return l
}

func newWorld(program, recordPath string) *world {
	file, err := os.Create(recordPath)
	check(err)
	dir, err := os.MkdirTemp("", "review3-")
	check(err)
	w := &world{dir: dir, program: program, record: &record{file: file, began: time.Now()}, store: kvstore.New()}
	l := listen()
	w.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return w
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		h.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.file.Close()
}

// kahva adds the hosts of the site kahva-coop, which has one or two in each failure domain.
func (w *world) kahva() {
	w.domains = map[string]string{"uus-a": "uusimaa", "uus-b": "uusimaa", "pirk-a": "pirkanmaa", "pirk-b": "pirkanmaa", "oulu-a": "oulu", "oulu-b": "oulu"}
	for i, d := range []string{"uus-a", "uus-a", "pirk-a", "pirk-a", "oulu-a", "uus-b", "pirk-b", "oulu-b"} {
		w.newHost(fmt.Sprintf("front-%s-%d", d, i+1), d)
	}
}

// startAll starts all hosts and waits until they are ready and know each other.
func (w *world) startAll() {
	for _, h := range w.hosts {
		h.start()
	}
	for _, h := range w.hosts {
		h.waitReady()
	}
	time.Sleep(4 * time.Second)
}

// route describes a rule of the configuration.
type route struct {
	prefix, kind, service string
	timeoutMs, attempts   int
	homes                 []string
}

func configuration(version int, hostName string, routes []route, extra map[string]any) string {
	var rules, clusters []any
	services := map[string]bool{}
	for i, r := range routes {
		rules = append(rules, map[string]any{
			"Name": fmt.Sprintf("r-%d", i), "Kind": r.kind, "GoalMs": 600, "Priority": 1, "Sticky": false, "Match": map[string]any{"Prefix": r.prefix},
			"Action": map[string]any{"Service": r.service, "TimeoutMs": r.timeoutMs, "Attempts": r.attempts, "HomeRegions": append([]string{}, r.homes...)},
		})
		if !services[r.service] {
			services[r.service] = true
			clusters = append(clusters, map[string]any{"Name": r.service, "HealthPath": "/healthz", "MaxConns": 330, "Protocol": "h1", "Tls": false, "ColdS": 3.0, "ColdPerS": 2.7})
		}
	}
	c := map[string]any{
		"Version":   fmt.Sprintf("%08x", version),
		"Limits":    map[string]any{"HeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Listeners": []any{map[string]any{"Host": hostName, "Rules": rules}},
		"Clusters":  clusters,
	}
	for k, v := range extra {
		c[k] = v
	}
	text, _ := json.Marshal(c)
	return string(text)
}

// host is one entry host process.
type host struct {
	w                                  *world
	id, domain                         string
	caller, ready, lookup, peer, admin string
	settings, log                      string
	mu                                 sync.Mutex
	process                            *exec.Cmd
	done                               chan struct{}
}

func (w *world) newHost(id, domain string) *host {
	ip := fmt.Sprintf("%s.%d", network, 10+len(w.hosts))
	h := &host{w: w, id: id, domain: domain, caller: ip + ":8161", ready: ip + ":8167", lookup: ip + ":8164", peer: ip + ":8166", admin: ip + ":7720"}
	h.settings, h.log = filepath.Join(w.dir, id+".toml"), filepath.Join(w.dir, id+".log")
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	return h
}

func (h *host) start() {
	var text strings.Builder
	fmt.Fprintf(&text, "host_id = %q\nfailure_domain = %q\nregion = %q\ncaller_address = %q\nready_address = %q\nlookup_address = %q\npeer_address = %q\nadmin_address = %q\n",
		h.id, h.domain, h.w.domains[h.domain], h.caller, h.ready, h.lookup, h.peer, h.admin)
	var seeds []string
	for _, other := range h.w.hosts[:min(3, len(h.w.hosts))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.peer))
	}
	fmt.Fprintf(&text, "bootstrap = [%s]\nstore_address = %q\nmemory_limit_mb = 284\n[failure_domains]\n", strings.Join(seeds, ", "), h.w.storeAt)
	for domain, region := range h.w.domains {
		fmt.Fprintf(&text, "%q = %q\n", domain, region)
	}
	text.WriteString(bounds)
	check(os.WriteFile(h.settings, []byte(text.String()), 0o600))
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer log.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = exec.Command(h.w.program, "gateway")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILTACK_CONFIG=" + h.settings}
	h.process.Stdout, h.process.Stderr = log, log
	// The host ends with this process, however this process ends.
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(h.process.Start())
	h.done = make(chan struct{})
	go func(p *exec.Cmd, done chan struct{}) {
		_ = p.Wait()
		close(done)
	}(h.process, h.done)
}

func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill()
	<-h.done
	h.process = nil
}

// waitReady waits until the host answers its readiness check with 200.
func (h *host) waitReady() {
	for range 200 {
		if r, err := http.Get("http://" + h.ready + "/readyz"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == 200 {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	check(fmt.Errorf("host %s is not ready", h.id))
}

// server is a backend server. handle answers one request; it returns false if the connection is to be closed after it.
type server struct {
	w          *world
	id, domain string
	service    string
	address    string
	slots      int
	born       int64
	seq        atomic.Uint64
	listener   net.Listener
	// cut is true while nothing gets through to the server.
	cut    atomic.Bool
	handle func(s *server, c *serverConn, r *http.Request, body []byte) bool
}

// serverConn is a connection to a backend server.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
}

// newQuietServer starts a backend server that does not check in.
func (w *world) newQuietServer(id, service, domain string, slots int, handle func(*server, *serverConn, *http.Request, []byte) bool) *server {
	s := &server{w: w, id: id, service: service, domain: domain, slots: slots, born: time.Now().UnixMilli(), handle: handle}
	s.listener = listen()
	s.address = s.listener.Addr().String()
	go s.accept()
	return s
}

// newServer starts a backend server that checks in.
func (w *world) newServer(id, service, domain string, slots int, handle func(*server, *serverConn, *http.Request, []byte) bool) *server {
	s := w.newQuietServer(id, service, domain, slots, handle)
	s.beat()
	go s.beats()
	return s
}

func (s *server) beat() {
	entry, _ := json.Marshal(map[string]any{
		"Service": s.service, "Addr": s.address, "Zone": s.domain, "Version": "v1", "Slots": s.slots, "State": "ready", "ColdLeftMs": 0,
		"Seq": s.seq.Add(1), "born": s.born,
	})
	s.w.store.Put("servers/"+s.id, string(entry))
}

func (s *server) beats() {
	for {
		time.Sleep(heartbeat)
		s.beat()
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	c := &serverConn{Conn: conn, reader: bufio.NewReader(conn)}
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil || s.cut.Load() {
			s.awaitCut()
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"), s.id)
			continue
		}
		if !s.handle(s, c, r, body) {
			return
		}
	}
}

// end ends the server: it takes no connections, and what it works on is not answered.
func (s *server) end() {
	s.cut.Store(true)
	_ = s.listener.Close()
}

// awaitCut waits until the server is not cut off. What was sent to it meanwhile is lost.
func (s *server) awaitCut() {
	for s.cut.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// answer writes a whole response with the stamp of the server.
func answer(c *serverConn, r *http.Request, s *server, status, extra, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\nX-Server-Load: 1,0,%d\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Request-Id"), s.id, r.Header.Get("X-Request-Id"), s.slots, extra, len(body), body)
}

// reply is what a caller got.
type reply struct {
	raw    []byte
	status int
	header http.Header
	body   []byte
	err    error
}

var requestCount atomic.Int64

func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8>>8|uint64(requestCount.Add(1)&255)<<56)
}

// call sends one request on a new connection and reads the whole response.
func call(address, method, hostName, path, id string, deadline time.Duration, body []byte, extra string) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), method, hostName, path, id, deadline, body, extra)
}

func requestBytes(method, hostName, path, id string, deadline time.Duration, body []byte, extra string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s", method, path, hostName, id, deadline.Milliseconds(), extra)
	if method != http.MethodGet || len(body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

func exchange(conn net.Conn, reader *bufio.Reader, method, hostName, path, id string, deadline time.Duration, body []byte, extra string) reply {
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := conn.Write(requestBytes(method, hostName, path, id, deadline, body, extra)); err != nil {
		return reply{err: err}
	}
	var raw bytes.Buffer
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(reader, &raw)), &http.Request{Method: method})
	if err != nil {
		return reply{err: err, raw: raw.Bytes()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{raw: raw.Bytes(), status: response.StatusCode, header: response.Header, body: data, err: err}
}
