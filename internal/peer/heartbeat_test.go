package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

func drawHeartbeat(t *rapid.T) membership.Heartbeat {
	id := rapid.OneOf(rapid.StringMatching(`oulu-1-entry-[0-9]{1,3}`), rapid.String())
	heartbeat := membership.Heartbeat{
		From:     membership.Member{ID: id.Draw(t, "from"), Incarnation: 7, Counter: 3, State: membership.Serving, ConfigVersion: 9},
		Suspects: rapid.SliceOfN(id, 0, 3).Draw(t, "suspects"),
	}
	for range rapid.IntRange(0, membership.MaxObservations).Draw(t, "observations") {
		heartbeat.Others = append(heartbeat.Others, membership.Observation{
			ID:          id.Draw(t, "id"),
			Incarnation: membership.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			Counter:     rapid.Uint64().Draw(t, "counter"),
			State:       membership.State(rapid.IntRange(0, 2).Draw(t, "state")),
			Age:         time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "age")),
		})
	}
	return heartbeat
}

// Guards against an observation that arrives with the id or values of another host, or with a lower age than was sent: a
// lost host that appears to be alive keeps its callers and slots.
func TestHeartbeatMessageKeepsObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawHeartbeat(t)
		var wire bytes.Buffer
		var message HeartbeatMessage
		if err := gob.NewEncoder(&wire).Encode(NewHeartbeatMessage(sent)); err != nil {
			t.Fatal(err)
		}
		if err := gob.NewDecoder(&wire).Decode(&message); err != nil {
			t.Fatal(err)
		}
		got := message.Heartbeat()
		if !reflect.DeepEqual(got.From, sent.From) || len(got.Others) != len(sent.Others) || len(got.Suspects) != len(sent.Suspects) {
			t.Fatalf("got %+v, want %+v", got, sent)
		}
		for i, o := range got.Others {
			want := sent.Others[i]
			if o.Age < want.Age || o.Age >= want.Age+time.Millisecond {
				t.Fatalf("age %v arrived as %v", want.Age, o.Age)
			}
			if o.Age = want.Age; o != want {
				t.Fatalf("got %+v, want %+v", o, want)
			}
		}
	})
}

// Guards against columns of different lengths, which would assign the values of one host to another one.
func TestHeartbeatWithUnequalColumnsHasNoObservations(t *testing.T) {
	sent := membership.Heartbeat{Others: []membership.Observation{{ID: "a1", Counter: 1}, {ID: "a2", Counter: 2}}}
	for name, spoil := range map[string]func(*HeartbeatMessage){
		"ids":          func(m *HeartbeatMessage) { m.Suffixes = m.Suffixes[:1] },
		"incarnations": func(m *HeartbeatMessage) { m.Incarnations = nil },
		"counters":     func(m *HeartbeatMessage) { m.Counters = m.Counters[:1] },
		"states":       func(m *HeartbeatMessage) { m.States = append(m.States, 1) },
		"ages":         func(m *HeartbeatMessage) { m.AgesMs = nil },
	} {
		message := NewHeartbeatMessage(sent)
		spoil(&message)
		if got := message.Heartbeat(); len(got.Others) != 0 {
			t.Errorf("%s: got %+v, want no observations", name, got.Others)
		}
	}
}

// Guards against an age from a faulty peer that overflows to a negative one, which would make the observation count as
// current.
func TestHeartbeatBoundsAges(t *testing.T) {
	message := NewHeartbeatMessage(membership.Heartbeat{Others: []membership.Observation{{ID: "a"}}})
	message.AgesMs[0] = 1 << 63
	if got := message.Heartbeat().Others[0].Age; got < membership.UnreachableAfter {
		t.Fatalf("age %v", got)
	}
}
