package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Write writes the tables to capacity.md in a folder. The remark says on what machine and beside what other work they
// were measured.
func (r *Report) Write(dir, remark string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "capacity.md")
	return path, os.WriteFile(path, []byte(r.markdown(remark)), 0o644)
}

func (r *Report) markdown(remark string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# Capacity\n\nWritten by `make build && ./bin/standin capacity` at %s; window %s. %s\n\n"+
		"[CAPACITY.md](../CAPACITY.md) explains the slopes and the computation. Bytes are those of connections between entry\n"+
		"hosts in both directions, without TCP and IP headers, if no other connection is named. 1 KB is 1,000 bytes.\n",
		r.Started.UTC().Format(time.RFC3339), r.window, remark)
	text.WriteString(processTable("Entry hosts in one failure domain", r.oneDomain))
	text.WriteString(processTable("Entry hosts in each of two failure domains", r.twoDomains))
	text.WriteString(processTable("Failure domains of two entry hosts", r.domains))
	text.WriteString(processTable("Backend servers of one entry host", r.servers))
	text.WriteString(processTable("Blocks at one entry host", r.blocks))
	for _, part := range []string{
		r.spreadTable(), r.faultTable(), r.policyTable(), r.changeTable(), r.trackerTable(), r.lookupTable(), r.messageTable(),
		r.callTable(), r.targetTables(),
	} {
		text.WriteString(part)
	}
	return text.String()
}

// processTable lists the processes of one kind of deployment by role.
func processTable(title string, samples []sample) string {
	t := newTable(title, "Mean over the entry hosts of a role; the highest in brackets.",
		"failure domains", "hosts each", "backend servers each", "blocks", "role", "% of a core", "resident MB", "sent KB/s", "received KB/s", "store calls/s")
	for _, s := range samples {
		for role, hosts := range s.shape.hostsByRole() {
			if hosts == 0 {
				continue
			}
			m, h := s.mean[role], s.highest[role]
			both := func(form func(float64) string, a, b float64) string { return form(a) + " (" + form(b) + ")" }
			t.row(count(s.shape.domains), count(s.shape.hostsPerDomain), count(s.shape.serversPerDomain), count(s.shape.blocks), roleName(role),
				both(percent, m.processor, h.processor), both(megabytes, m.resident, h.resident),
				both(kilobytes, m.sent, h.sent), both(kilobytes, m.received, h.received), rate(s.storeCalls))
		}
	}
	return t.String()
}

func roleName(n int) string { return role(n).String() }

func (r *Report) spreadTable() string {
	t := newTable("Spread of a change", "From the acceptance in the store until the change is in force on every entry host.",
		"failure domains", "entry hosts", "changes", "median ms", "longest ms")
	for _, s := range r.domains {
		if n := len(s.spread); n > 0 {
			t.row(count(s.shape.domains), count(2*s.shape.domains), count(n), ms(s.spread[n/2]), ms(s.spread[n-1]))
		}
	}
	return t.String()
}

func (r *Report) faultTable() string {
	t := newTable("Faults", "", "event", "measured", "value")
	t.row(fmt.Sprintf("restart of 1 of %d hosts of a failure domain", r.restart.hosts), "bytes beyond an idle time, KB", kilobytes(r.restart.bytes))
	t.row("", "time until the host uses its slots, s", rate(r.restart.ready.Seconds()))
	for _, at := range []struct {
		label string
		sample
	}{{"before the loss", r.loss.before}, {"after the loss", r.loss.after}} {
		t.row(fmt.Sprintf("loss of 1 of %d failure domains", lossDomains), at.label+": mean % of a core of a delegate", percent(at.mean[firstDelegate].processor))
		t.row("", at.label+": mean KB/s of a delegate", kilobytes(at.mean[firstDelegate].bytes()))
		t.row("", at.label+": store calls/s", rate(at.storeCalls))
	}
	return t.String()
}

func (r *Report) policyTable() string {
	t := newTable("Policy of the target size by blocks", "486 entry hosts, 1,980 backend servers, 49 sites. Memory is live heap.",
		"blocks", "transferred KB", "configuration MB", "look-up table MB", "decode ms", "build table ms")
	for _, p := range r.policies {
		t.row(count(p.blocks), kilobytes(float64(p.transferred)), megabytes(p.configuration), megabytes(p.table), ms(p.decode), ms(p.build))
	}
	return t.String()
}

func (r *Report) changeTable() string {
	t := newTable("Changes of a policy of the target size", "At an entry host that learns the change from a peer; head and parts.",
		"blocks", "change of one", "transferred KB", "decode ms", "build table ms")
	for _, p := range r.policies {
		for _, c := range p.changes {
			t.row(count(p.blocks), c.name, kilobytes(float64(c.transferred)), ms(c.decode), ms(c.build))
		}
	}
	return t.String()
}

func (r *Report) trackerTable() string {
	t := newTable("Backend servers of a failure domain with 27 entry hosts", "9 slots each. Polls are those of a normal day.",
		"backend servers", "tracker KB", "configure ms", "list slots µs", "take and release µs", "polled by a host, mean", "at most")
	for _, c := range r.trackers {
		t.row(count(c.servers), kilobytes(c.tracker), ms(c.configure), micro(c.available), micro(c.take), rate(c.polled), count(c.maxPolled))
	}
	return t.String()
}

func (r *Report) lookupTable() string {
	t := newTable("Look-ups over HTTP", "One entry host, kept connections. Look-ups a second on one core follow from the processor time.",
		"blocks", "measured look-ups/s", "processor µs each", "look-ups/s on one core")
	for _, l := range r.lookups {
		t.row(count(l.blocks), whole(l.perSecond), micro(l.processor), whole(1/l.processor.Seconds()))
	}
	return t.String()
}

func (r *Report) messageTable() string {
	t := newTable("Messages of a failure domain", "Bytes of a message without the frame of net/rpc.", "hosts", "services", "heartbeat", "summary")
	for _, m := range r.messages {
		t.row(count(m.hosts), count(m.services), count(m.heartbeat), count(m.summary))
	}
	return t.String()
}

func (r *Report) callTable() string {
	t := newTable("Calls of platform and backend servers", "Bytes of one call in both directions over a kept connection.", "call", "bytes")
	t.row("read of head with 128 change ids", whole(r.calls.headRead))
	t.row("poll of an unchanged head", whole(r.calls.headPoll))
	t.row("host list of 486 entry hosts and 1,980 backend servers", whole(r.calls.listRead))
	t.row("unchanged host list", whole(r.calls.listPoll))
	t.row("health of a backend server", whole(r.calls.health))
	t.row("load of a backend server", whole(r.calls.load))
	return t.String()
}
