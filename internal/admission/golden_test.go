package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// sessionReplay replays a golden file on one queue. Times are milliseconds from the start.
type sessionReplay struct {
	queue       *Queue
	now         time.Time
	namesByID   map[uint64]string
	idsByName   map[string]uint64
	ranksByName map[string]rank.Rank
	startByName map[string]time.Time
}

// Guards against an unintended change of the order of admissions. The golden file also documents by example which request
// is admitted when and why.
func TestSessionMatchesGoldenFile(t *testing.T) {
	s := &sessionReplay{queue: newTestQueue(), now: epoch, namesByID: map[uint64]string{}, idsByName: map[string]uint64{},
		ranksByName: map[string]rank.Rank{}, startByName: map[string]time.Time{}}
	datadriven.RunTest(t, "testdata/session", s.step)
}

func (s *sessionReplay) step(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	if d.HasArg("at") {
		var ms int
		d.ScanArgs(t, "at", &ms)
		s.now = epoch.Add(time.Duration(ms) * time.Millisecond)
	}
	switch d.Cmd {
	case "configure":
		var capacity, perCaller int
		d.ScanArgs(t, "capacity", &capacity)
		d.ScanArgs(t, "queue_per_caller", &perCaller)
		s.queue.Configure(testService(defaultLimits, testFloors, perCaller), capacity, s.now)
	case "offer":
		for line := range strings.Lines(d.Input) {
			s.offer(t, strings.Fields(line), &out)
		}
	case "release":
		for _, arg := range d.CmdArgs {
			if arg.Key != "at" {
				s.release(arg.Key)
			}
		}
	case "cancel":
		fmt.Fprintf(&out, "cancelled: %v\n", s.queue.Cancel(s.idsByName[d.CmdArgs[0].Key]))
	case "elapse":
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	s.processQueue(&out)
	return out.String()
}

// offer reads the fields name, rank, caller and time until the deadline, and offers the request.
func (s *sessionReplay) offer(t *testing.T, fields []string, out *strings.Builder) {
	r, err := rank.Parse(fields[1])
	if err != nil {
		t.Fatal(err)
	}
	timeLeft, err := time.ParseDuration(fields[3])
	if err != nil {
		t.Fatal(err)
	}
	id := uint64(len(s.namesByID) + 1)
	s.namesByID[id], s.idsByName[fields[0]], s.ranksByName[fields[0]] = fields[0], id, r
	d := s.queue.Offer(Request{ID: id, Rank: r, Caller: fields[2], Deadline: s.now.Add(timeLeft)}, s.now)
	switch d.Outcome {
	case Admitted:
		s.startByName[fields[0]] = s.now
		fmt.Fprintf(out, "%s: admitted at once\n", fields[0])
	case Queued:
		fmt.Fprintf(out, "%s: queued\n", fields[0])
	case Rejected:
		fmt.Fprintf(out, "%s: rejected %v\n", fields[0], d.Failure)
	}
}

func (s *sessionReplay) release(name string) {
	s.queue.Release(s.ranksByName[name], s.now.Sub(s.startByName[name]), s.now)
}

func (s *sessionReplay) processQueue(out *strings.Builder) {
	rejections := s.queue.Expire(s.now)
	for _, req := range s.queue.Next(s.now) {
		name := s.namesByID[req.ID]
		s.startByName[name] = s.now
		fmt.Fprintf(out, "%s: admitted from the queue\n", name)
	}
	for _, r := range rejections {
		fmt.Fprintf(out, "%s: rejected %v\n", s.namesByID[r.Request.ID], r.Failure)
	}
	fmt.Fprintf(out, "in use %v, waiting %v, headroom %v\n", s.queue.InUse(), s.queue.Waiting(), s.queue.Headroom(s.now))
}
