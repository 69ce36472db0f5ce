//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The deployment of this case: status checks of the operators' reprint desk, whose clients send requests behind each other.
const (
	checkWork        = 480 * time.Millisecond
	checkDeadline    = 2500 * time.Millisecond
	checkAnswer      = 400
	counterUpstreams = 16
	counterSlots     = 6
	// garblingShare of the upstreams spoil garbledAnswers of their answers, garblePeriods times for garbleFor.
	garblingShare  = 0.5
	garbledAnswers = 0.05
	garbleFor      = 5 * time.Second
	garblePause    = 2 * time.Second
	garblePeriods  = 3
	// A connection carries one request and then connectionBurst requests that are sent without waiting for answers.
	connectionBurst = 5
	connectionGap   = 40 * time.Millisecond
	// lostAllowed is the number of requests that the rule allows to be lost.
	lostAllowed = 3
)

// runsOf records at which upstream each request ran.
type runsOf struct {
	mu sync.Mutex
	at map[string]string
}

func (r *runsOf) add(id, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[id] = upstream
}

func (r *runsOf) upstream(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[id]
}

// statusCounts are the results of a run with spoiled statuses.
type statusCounts struct {
	answered int
	// mixed are successes that clients got for answers of upstreams that are none.
	mixed int
	// lost are requests that were passed on from kept connections to sound upstreams and got no answer.
	lost int
	// unanswered are all other requests without an answer.
	unanswered int
}

// runMixed reports whether a client got a success although the upstream had answered with a failure.
func runMixed(r *run) (bool, error) {
	counts, err := runStatus(r)
	return counts.mixed > 0, err
}

// runLost reports whether requests at sound upstreams were lost because another upstream sent bytes that are no response.
func runLost(r *run) (bool, error) {
	counts, err := runStatus(r)
	return counts.lost > lostAllowed, err
}

// runStatus plays upstreams that spoil the status of some answers.
func runStatus(r *run) (counts statusCounts, err error) {
	d, err := newDeployment(r.record, r.dir, map[string]string{"sicilia-a": "sicilia", "sicilia-b": "sicilia"}, trinacriaBounds)
	if err != nil {
		return counts, err
	}
	defer d.stop()
	if err := d.configure(configurationOf(1, []rule{{"check", "idempotent", 400, 1, "/check/", "counter", 2500, 2}}, "counter")); err != nil {
		return counts, err
	}
	runs := &runsOf{at: map[string]string{}}
	var impaired sync.Map
	var garbling sync.Map
	for i := range counterUpstreams {
		id := fmt.Sprintf("i-%08x", i*0x9e3779b)
		if float64(i) < garblingShare*counterUpstreams-0.5 {
			garbling.Store(id, true)
		}
		zone := []string{"sicilia-a", "sicilia-b"}[i%2]
		_, err := d.startUpstream(id, "counter", zone, counterSlots, func(req *http.Request) answer {
			runs.add(req.Header.Get("X-Request-Id"), id)
			_, active := impaired.Load("now")
			_, faulty := garbling.Load(id)
			return answer{work: time.Duration(float64(checkWork) * (0.85 + 0.3*rand.Float64())), size: checkAnswer, garbled: active && faulty && rand.Float64() < garbledAnswers}
		})
		if err != nil {
			return counts, err
		}
	}
	for _, zone := range []string{"sicilia-a", "sicilia-b"} {
		if _, err := d.startHost("front-"+zone+"-1", zone, memoryLimitMB); err != nil {
			return counts, err
		}
	}
	if err := d.waitReady(); err != nil {
		return counts, err
	}
	time.Sleep(time.Second)
	if r.trouble {
		go func() {
			for range garblePeriods {
				r.record.log("impairment: %.0f%% of the upstreams spoil %.0f%% of their answers", 100*garblingShare, 100*garbledAnswers)
				impaired.Store("now", true)
				time.Sleep(garbleFor)
				impaired.Delete("now")
				r.record.log("impairment: over")
				time.Sleep(garblePause)
			}
		}()
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	until := time.Now().Add(garblePeriods * (garbleFor + garblePause))
	for n := 0; time.Now().Before(until); n++ {
		clients.Go(func() {
			var list []*request
			for range 1 + connectionBurst {
				list = append(list, &request{id: newRequestID(), method: http.MethodGet, path: "/check/1", object: fmt.Sprint(rand.IntN(98)), deadline: checkDeadline})
			}
			outcomes := sendKept(r.record, d.hosts[n%len(d.hosts)].front, list)
			mu.Lock()
			defer mu.Unlock()
			for i, o := range outcomes {
				at := runs.upstream(list[i].id)
				_, faulty := garbling.Load(at)
				spoiled := d.garbledStamp(list[i].id)
				switch {
				case o.status/100 == 2 && o.stamp == spoiled && spoiled != "":
					counts.mixed++
					r.record.log("MIXED: %s got %d with the stamp %s, whose upstream had answered 000 Internal Server Error", list[i].id, o.status, o.stamp)
				case o.status != 0 && o.err == nil:
					counts.answered++
				case i > 0 && connectionEnded(o) && at != "" && !faulty:
					counts.lost++
					r.record.log("LOST: %s was passed on to the sound upstream %s, and its kept connection ended without an answer: %v", list[i].id, at, o.err)
				default:
					counts.unanswered++
				}
			}
		})
		time.Sleep(connectionGap)
	}
	clients.Wait()
	summary := fmt.Sprintf("%d requests answered; successes for spoiled failures: %d; kept connections that ended without an answer: %d requests at sound upstreams, %d others",
		counts.answered, counts.mixed, counts.lost, counts.unanswered)
	r.record.log("%s", summary)
	fmt.Println(summary)
	return counts, nil
}
