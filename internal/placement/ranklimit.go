package placement

// Requests per slot, counting all ranks and the server's queue, up to which a server gets more requests of a rank. The lower limit
// of deferrable requests keeps capacity free for more urgent ranks when there are many less urgent requests.
const (
	urgentRequestsPerSlot      = 4.0
	interactiveRequestsPerSlot = 4.0
	deferrableRequestsPerSlot  = 3.5
)

// maxRequestsFor returns the number of requests at a server up to which it gets requests of a rank.
func (t *Table) maxRequestsFor(rank, slots int) float64 {
	switch {
	case rank <= 0:
		return urgentRequestsPerSlot * float64(slots)
	case rank == 1:
		return interactiveRequestsPerSlot * float64(slots)
	default:
		return deferrableRequestsPerSlot * float64(slots)
	}
}
