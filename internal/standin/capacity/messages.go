package capacity

import (
	"encoding/gob"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/peer"
)

// messageSize is the size of the messages of a failure domain without the frame of net/rpc.
type messageSize struct {
	hosts, services    int
	heartbeat, summary int
}

// byteCounter counts what is written to it.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// encodedSize is the size of a message on a connection that has carried one before, so that types are known.
func encodedSize(message any) (int, error) {
	var count byteCounter
	encoder := gob.NewEncoder(&count)
	if err := encoder.Encode(message); err != nil {
		return 0, err
	}
	first := count
	err := encoder.Encode(message)
	return int(count - first), err
}

// measureMessages sizes a heartbeat and a summary of a failure domain in which every host was heard.
func measureMessages(hosts, services int) (messageSize, error) {
	m := messageSize{hosts: hosts, services: services}
	now := time.Now()
	table := membership.New(membership.Member{ID: hostID(0, 0), Incarnation: incarnation(now)}, domainName(0))
	var peers []string
	for n := range hosts - 1 {
		peers = append(peers, hostID(0, n+1))
	}
	table.SetPeers(peers)
	table.SetSelf(membership.Serving, 1000, headroom(services))
	for _, id := range peers {
		table.MergeHeartbeat(membership.Heartbeat{From: membership.Member{
			ID: id, Incarnation: incarnation(now), Counter: 80_000, State: membership.Serving, ConfigVersion: 1000, Headroom: headroom(services),
		}}, now)
	}
	var err error
	if m.heartbeat, err = encodedSize(peer.NewHeartbeatMessage(table.Heartbeat(now.Add(time.Second)))); err != nil {
		return m, err
	}
	m.summary, err = encodedSize(peer.SummaryReply{Summaries: []membership.Summary{table.Summary(now)}})
	return m, err
}

func incarnation(now time.Time) membership.Incarnation {
	return membership.Incarnation(now.UnixMicro())
}

// headroom has fractions that are as long in gob as those of a host with work.
func headroom(services int) []membership.Headroom {
	var list []membership.Headroom
	for i := range services {
		list = append(list, membership.Headroom{Service: serviceName(i), Usable: 36, Free: [3]float64{10.0 / 3, 7.0 / 3, 4.0 / 3}})
	}
	return list
}
