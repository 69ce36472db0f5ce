package admission

import "container/list"

// rankQueue holds the waiting requests of one rank. It serves callers round robin, and the requests of each caller first
// in, first out. It keeps no callers without waiting requests.
type rankQueue struct {
	size    int
	callers map[string]*callerQueue
	// turns is the round-robin order of the callers. The front one is served next.
	turns *list.List
	// bySize[n] holds the callers with n waiting requests. largest is the highest n that any caller has.
	bySize  []*list.List
	largest int
}

// callerQueue holds the waiting requests of one caller in one rank, as a linked list in order of arrival. turnElement and
// sizeElement are the caller's elements in rankQueue.turns and rankQueue.bySize.
type callerQueue struct {
	name        string
	count       int
	first, last *entry
	turnElement *list.Element
	sizeElement *list.Element
}

func newRankQueue() rankQueue {
	return rankQueue{callers: make(map[string]*callerQueue), turns: list.New()}
}

func (c *callerQueue) size() int      { return c.count }
func (c *callerQueue) newest() *entry { return c.last }

// waitingCount returns the number of waiting requests of a caller.
func (rq *rankQueue) waitingCount(caller string) int {
	if c := rq.callers[caller]; c != nil {
		return c.count
	}
	return 0
}

// longest returns a caller with the most waiting requests. The queue must not be empty.
func (rq *rankQueue) longest() *callerQueue {
	return rq.bySize[rq.largest].Front().Value.(*callerQueue)
}

// push appends an entry to its caller's queue. A new caller is served after all present ones.
func (rq *rankQueue) push(e *entry, caller string) {
	c := rq.callers[caller]
	if c == nil {
		c = &callerQueue{name: caller}
		rq.callers[caller] = c
		c.turnElement = rq.turns.PushBack(c)
	}
	e.caller = c
	e.previous = c.last
	if c.last == nil {
		c.first = e
	} else {
		c.last.next = e
	}
	c.last = e
	rq.resize(c, +1)
}

// pop removes and returns the oldest request of the caller that is served next, and moves that caller to the back of the
// round-robin order. The queue must not be empty.
func (rq *rankQueue) pop() *entry {
	c := rq.turns.Front().Value.(*callerQueue)
	e := c.first
	rq.turns.MoveToBack(c.turnElement)
	rq.remove(e)
	return e
}

// remove removes an entry from any position in its caller's queue.
func (rq *rankQueue) remove(e *entry) {
	c := e.caller
	if e.previous == nil {
		c.first = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		c.last = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.previous, e.next = nil, nil
	rq.resize(c, -1)
	if c.count == 0 {
		rq.turns.Remove(c.turnElement)
		delete(rq.callers, c.name)
	}
}

// resize changes a caller's number of waiting requests by change and moves the caller to the list of its new size.
func (rq *rankQueue) resize(c *callerQueue, change int) {
	if c.count > 0 {
		rq.bySize[c.count].Remove(c.sizeElement)
	}
	c.count += change
	rq.size += change
	for len(rq.bySize) <= c.count {
		rq.bySize = append(rq.bySize, list.New())
	}
	if c.count > 0 {
		c.sizeElement = rq.bySize[c.count].PushBack(c)
	}
	// A size changes by one, so the largest size changes by at most one.
	if c.count > rq.largest {
		rq.largest = c.count
	} else if rq.largest > 0 && rq.bySize[rq.largest].Len() == 0 {
		rq.largest--
	}
}
