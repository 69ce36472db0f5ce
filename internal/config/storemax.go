package config

import "sync/atomic"

// storeMax atomically sets a number to value unless the number is already higher.
func storeMax(number *atomic.Uint64, value uint64) {
	for {
		old := number.Load()
		if old >= value || number.CompareAndSwap(old, value) {
			return
		}
	}
}
