package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// HeartbeatMessage is the encoding of a heartbeat for sending. Observations are most of its bytes, so they are sent as
// columns, with the common prefix of the ids only once: the hosts of a failure domain mostly have similar names.
type HeartbeatMessage struct {
	From membership.Member
	// Prefix and Suffixes together are the ids of the observed hosts. The other columns have the same length as Suffixes.
	Prefix       string
	Suffixes     []string
	Incarnations []uint64
	Counters     []uint64
	States       []byte
	// AgesMs are in milliseconds, rounded up, so that an observation never appears more recent than it is.
	AgesMs   []uint64
	Notices  []membership.Notice
	Suspects []string
}

// NewHeartbeatMessage converts a heartbeat for sending. Negative ages are sent as 0.
func NewHeartbeatMessage(heartbeat membership.Heartbeat) HeartbeatMessage {
	m := HeartbeatMessage{From: heartbeat.From, Notices: heartbeat.Notices, Suspects: heartbeat.Suspects, Prefix: commonPrefix(heartbeat.Others)}
	for _, o := range heartbeat.Others {
		m.Suffixes = append(m.Suffixes, o.ID[len(m.Prefix):])
		m.Incarnations = append(m.Incarnations, uint64(o.Incarnation))
		m.Counters = append(m.Counters, o.Counter)
		m.States = append(m.States, byte(o.State))
		m.AgesMs = append(m.AgesMs, uint64((max(o.Age, 0)+time.Millisecond-1)/time.Millisecond))
	}
	return m
}

// commonPrefix returns the longest common prefix of the observed ids.
func commonPrefix(others []membership.Observation) string {
	if len(others) == 0 {
		return ""
	}
	prefix := others[0].ID
	for _, o := range others[1:] {
		for !strings.HasPrefix(o.ID, prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	return prefix
}

// maxObservationAge limits ages on receipt, so that no age overflows. An observation of that age has no effect.
const maxObservationAge = time.Hour

// Heartbeat converts a received heartbeat. It drops the observations if the columns have different lengths, since the
// values cannot then be assigned to hosts.
func (m HeartbeatMessage) Heartbeat() membership.Heartbeat {
	heartbeat := membership.Heartbeat{From: m.From, Notices: m.Notices, Suspects: m.Suspects}
	n := len(m.Suffixes)
	lengths := []int{len(m.Incarnations), len(m.Counters), len(m.States), len(m.AgesMs)}
	if slices.ContainsFunc(lengths, func(length int) bool { return length != n }) {
		return heartbeat
	}
	for i, suffix := range m.Suffixes {
		heartbeat.Others = append(heartbeat.Others, membership.Observation{
			ID:          m.Prefix + suffix,
			Incarnation: membership.Incarnation(m.Incarnations[i]),
			Counter:     m.Counters[i],
			State:       membership.State(m.States[i]),
			Age:         time.Duration(min(m.AgesMs[i], uint64(maxObservationAge/time.Millisecond))) * time.Millisecond,
		})
	}
	return heartbeat
}
