package measure

import (
	"context"
	"time"
)

// sampleInterval is the time between two samples of the slots.
const sampleInterval = 250 * time.Millisecond

// samples is what was sampled during a run.
type samples struct {
	// headroom is the mean share of usable slots of the flooded service that were free.
	headroom float64
	// processor is the processor time of the entry hosts that ran all the time, in cores.
	processor float64
	// largest is the largest resident memory of an entry host in bytes.
	largest int64
}

// sampler samples in the background until stop.
type sampler struct {
	cancel context.CancelFunc
	done   chan struct{}
	env    *env
	free   []float64
	began  time.Time
	before map[int]time.Duration
}

func (e *env) startSampler(ctx context.Context) *sampler {
	ctx, cancel := context.WithCancel(ctx)
	s := &sampler{cancel: cancel, done: make(chan struct{}), env: e, began: time.Now()}
	s.before, _ = e.usage()
	go s.loop(ctx)
	return s
}

func (s *sampler) loop(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if share, ok := s.env.freeShare(); ok {
				s.free = append(s.free, share)
			}
		}
	}
}

func (s *sampler) stop() samples {
	s.cancel()
	<-s.done
	after, largest := s.env.usage()
	result := samples{largest: largest}
	for pid, used := range after {
		if before, ok := s.before[pid]; ok {
			result.processor += (used - before).Seconds() / time.Since(s.began).Seconds()
		}
	}
	for _, share := range s.free {
		result.headroom += share / float64(len(s.free))
	}
	return result
}

// freeShare returns the share of the usable slots of the flooded service that are free on the running entry hosts.
func (e *env) freeShare() (float64, bool) {
	usable, inUse := 0, 0
	for _, h := range e.fleet.Document.Hosts {
		if !e.fleet.Hosts[h.ID].Running() {
			continue
		}
		u, n, err := e.fleet.HostSlots(h.ID, e.flooded().Name)
		if err != nil {
			continue
		}
		usable += u
		inUse += n
	}
	if usable == 0 {
		return 0, false
	}
	return float64(usable-inUse) / float64(usable), true
}

// usage returns the processor time of the running entry hosts by process id and the largest resident memory.
func (e *env) usage() (processor map[int]time.Duration, largest int64) {
	processor = map[int]time.Duration{}
	for _, p := range e.fleet.Hosts {
		if !p.Running() {
			continue
		}
		used, resident, err := p.Usage()
		if err != nil {
			continue
		}
		processor[p.PID()] = used
		largest = max(largest, resident)
	}
	return processor, largest
}
