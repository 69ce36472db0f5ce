package placement

// Shares of a server's slots that a rank may fill, counting the work of all ranks. They answer floods of less urgent work:
// what is left of the slots is free for the ranks above. The most urgent rank may also use the server's queue.
const (
	urgentRoom      = 4.0
	interactiveRoom = 4.0
	deferrableRoom  = 3.5
)

// roomFor returns the number of requests up to which a server takes work of a rank.
func (t *Table) roomFor(rank, slots int) float64 {
	switch {
	case rank <= 0:
		return urgentRoom * float64(slots)
	case rank == 1:
		return interactiveRoom * float64(slots)
	default:
		return deferrableRoom * float64(slots)
	}
}
