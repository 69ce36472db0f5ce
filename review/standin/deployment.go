//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
)

// deployment is a small deployment on loopback: the platform's store, entry host processes and upstreams.
type deployment struct {
	record *record
	dir    string
	bounds map[string]string
	zones  map[string]string
	kv     *kvstore.Store
	store  net.Listener

	hosts     []*entryHost
	upstreams []*upstream

	mu sync.Mutex
	// garbled holds the stamps of the spoiled answers, by request.
	garbled map[string]string
}

// addGarbled records a spoiled answer.
func (d *deployment) addGarbled(id, stamp string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.garbled[id] = stamp
}

// garbledStamp returns the stamp of the spoiled answer to a request, empty if there is none.
func (d *deployment) garbledStamp(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.garbled[id]
}

// entryHost is one process of the deploy file's role.
type entryHost struct {
	name, zone     string
	front, ready   string
	lookup         string
	memoryMB       int
	cmd            *exec.Cmd
	log            *os.File
	exited         chan struct{}
	mu             sync.Mutex
	killedByMemory bool
	peakKB         int
}

func newDeployment(rec *record, dir string, zones map[string]string, bounds map[string]string) (*deployment, error) {
	d := &deployment{record: rec, dir: dir, zones: zones, bounds: bounds, kv: kvstore.New(), garbled: map[string]string{}}
	var err error
	if d.store, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(d.store, d.kv) }()
	return d, nil
}

// freeAddresses returns loopback addresses with different free ports.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// renderSettings fills in the project's template as the platform does, for the fields that the template has.
func renderSettings(template string, fields map[string]string, zones map[string]string) (string, error) {
	before, rest, found := strings.Cut(template, "{{#Zones}}")
	section, after, closed := strings.Cut(rest, "{{/Zones}}")
	if !found || !closed {
		return "", fmt.Errorf("the template has no zones")
	}
	var list strings.Builder
	for zone, region := range zones {
		list.WriteString(strings.NewReplacer("{{@}}", zone, "{{.|json}}", strconv.Quote(region)).Replace(section))
	}
	text := before + list.String() + after
	for name, value := range fields {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if i := strings.Index(text, "{{"); i >= 0 {
		return "", fmt.Errorf("unknown placeholder: %.40s", text[i:])
	}
	return text, nil
}

// startHost starts an entry host as the deploy file says.
func (d *deployment) startHost(name, zone string, memoryMB int) (*entryHost, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%256, 10+len(d.hosts))
	addresses, err := freeAddresses(ip, 5)
	if err != nil {
		return nil, err
	}
	h := &entryHost{name: name, zone: zone, front: addresses[0], ready: addresses[1], lookup: addresses[2], memoryMB: memoryMB, exited: make(chan struct{})}
	_, adminPort, _ := net.SplitHostPort(addresses[4])
	fields := map[string]string{
		"Node|json": strconv.Quote(name), "Zone|json": strconv.Quote(zone), "Region|json": strconv.Quote(d.zones[zone]),
		"Listen.Front|json": strconv.Quote(addresses[0]), "Listen.Ready|json": strconv.Quote(addresses[1]),
		"Listen.Directory|json": strconv.Quote(addresses[2]), "Listen.Control|json": strconv.Quote(addresses[3]),
		"Ip": ip, "PortRange.0": adminPort, "Seeds|json": `["` + addresses[3] + `"]`,
		"Provider.Addr|json": strconv.Quote(d.store.Addr().String()), "Limits.MemoryLimitMb": strconv.Itoa(memoryMB),
	}
	for bound, value := range d.bounds {
		fields["Bounds."+bound] = value
	}
	template, err := os.ReadFile("deploy/host.toml.tmpl")
	if err != nil {
		return nil, err
	}
	text, err := renderSettings(string(template), fields, d.zones)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		return nil, err
	}
	h.cmd = exec.Command("target/foxtailtack", "gateway")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILTACK_CONFIG=" + settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	d.hosts = append(d.hosts, h)
	go h.enforceMemoryLimit(d.record)
	return h, nil
}

// enforceMemoryLimit ends the process once it exceeds its memory limit, as the platform does.
func (h *entryHost) enforceMemoryLimit(rec *record) {
	path := fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid)
	for {
		select {
		case <-h.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		_, rest, found := strings.Cut(string(text), "VmRSS:")
		if !found {
			continue
		}
		kb, _ := strconv.Atoi(strings.Fields(rest)[0])
		h.mu.Lock()
		h.peakKB = max(h.peakKB, kb)
		over := kb > h.memoryMB*1024 && !h.killedByMemory
		h.killedByMemory = h.killedByMemory || over
		h.mu.Unlock()
		if over {
			rec.log("platform: %s holds %d kB of memory, its limit is %d MB; it is killed", h.name, kb, h.memoryMB)
			_ = h.cmd.Process.Kill()
		}
	}
}

// memory returns the highest memory of the process in kB and whether it was killed because of its limit.
func (h *entryHost) memory() (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakKB, h.killedByMemory
}

// waitReady waits until all hosts are ready and list each other.
func (d *deployment) waitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range d.hosts {
		for {
			if d.isReady(h) {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) isReady(h *entryHost) bool {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false
	}
	for _, other := range d.hosts {
		if _, ok := d.kv.Get("foxtailtack/hosts/" + other.name); !ok {
			return false
		}
	}
	return true
}

// configure stores a configuration as the operator does.
func (d *deployment) configure(configuration any) error {
	data, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	d.kv.Put("op/config", string(data))
	return nil
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		select {
		case <-h.exited:
		default:
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
		_ = h.log.Close()
	}
	for _, u := range d.upstreams {
		u.close()
	}
	_ = d.store.Close()
}
