package placement

// Requests per slot, counting all ranks and the server's queue, up to which a server gets more requests of a rank. The lower limit
// of deferrable requests keeps capacity free for more urgent ranks when there are many less urgent requests.
const (
	urgentRequestsPerSlot      = 4.0
	interactiveRequestsPerSlot = 4.0
	deferrableRequestsPerSlot  = 3.5
)

// largeBodyQueuePerSlot is the queue per slot up to which a server gets requests with large bodies. A server holds the bodies of waiting
// requests in memory and crashes if they exceed it. With a queue of a third of the slots, a third of the uploads was rejected on a deployment
// whose servers have three slots, although most of the queue was small requests.
const largeBodyQueuePerSlot = 2.0

// maxRequestsFor returns the number of requests at a server up to which it gets requests of a rank, with or without large bodies.
func (t *Table) maxRequestsFor(rank, slots int, largeBody bool) float64 {
	if largeBody {
		return float64(slots) + max(1, largeBodyQueuePerSlot*float64(slots))
	}
	switch {
	case rank <= 0:
		return urgentRequestsPerSlot * float64(slots)
	case rank == 1:
		return interactiveRequestsPerSlot * float64(slots)
	default:
		return deferrableRequestsPerSlot * float64(slots)
	}
}
