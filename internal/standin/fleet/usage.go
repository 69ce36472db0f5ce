package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc, which Linux fixes at 100 Hz for user space.
const clockTick = 10 * time.Millisecond

// Fields of /proc/<pid>/stat behind the command name, counted from the state field.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

func readUsage(pid int) (time.Duration, int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, behind, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(behind)
	if !found || len(fields) <= statResident {
		return 0, 0, fmt.Errorf("stat of process %d has an unknown form", pid)
	}
	var values [3]int64
	for i, at := range []int{statUserTime, statSystemTime, statResident} {
		if values[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return 0, 0, err
		}
	}
	return time.Duration(values[0]+values[1]) * clockTick, values[2] * int64(os.Getpagesize()), nil
}
