package slots

// SetOptions sets the options of a process that has no configuration yet. While the configuration lists this host, the call
// has no effect: two hosts must have the same options while they have different configuration versions.
func (t *Tracker) SetOptions(opts Options) {
	if t.listed {
		return
	}
	t.predecessorsDoneAt = t.predecessorsDoneAt.Add(opts.MaxRequest - t.opts.MaxRequest)
	t.opts = opts
	t.invalidate()
}
