package reserver

import (
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strconv"

	"golang.org/x/sys/unix"

	"github.com/filberthoist/filberthoist/core/loader"
)

const (
	// budgetFraction is the fraction of a process's memory that clients' bodies and responses may take, and
	// heapFraction that from which the garbage collector works harder.
	budgetFraction = 0.46
	heapFraction   = 0.75
	// seatFraction is the fraction of Total that connections of clients may take.
	seatFraction = 0.75
	// ownDescriptors are kept for files, listeners and connections between processes, but at most ownFraction of all.
	ownDescriptors = 264
	ownFraction    = 0.4
	// megabyte is the unit of the setting.
	megabyte = 1_000_000
	// Bounds of the settings.
	minMegabytes, maxMegabytes     = 64, 1 << 24
	minDescriptors, maxDescriptors = 64, 1 << 24
	// cgroupLimit is the file with the memory limit of a process's group, or the text max.
	cgroupLimit = "/sys/fs/cgroup/memory.max"
)

// Limits are the limits of a process.
type Limits struct {
	MemoryBytes int
	Descriptors int
}

// ReadLimits reads memoryMegabytes and descriptors from the section [listen]. Those that are not stated, or 0, are
// those of the system.
func ReadLimits(r *loader.Reader) Limits {
	out := Limits{MemoryBytes: megabyte * r.Int("memoryMegabytes", 0, 0, maxMegabytes), Descriptors: r.Int("descriptors", 0, 0, maxDescriptors)}
	if out.MemoryBytes == 0 {
		out.MemoryBytes = systemMemory()
	} else if out.MemoryBytes < minMegabytes*megabyte {
		r.Fail("memoryMegabytes", "less than %d", minMegabytes)
	}
	if out.Descriptors == 0 {
		out.Descriptors = systemDescriptors()
	} else if out.Descriptors < minDescriptors {
		r.Fail("descriptors", "less than %d", minDescriptors)
	}
	return out
}

// Budget returns the bytes that a process may hold for clients.
func (l Limits) Budget() int {
	return int(budgetFraction * float64(l.MemoryBytes))
}

// Connections returns the number of connections of clients that may be open at once.
func (l Limits) Connections() int {
	return int(seatFraction * float64(l.Total()))
}

// Total returns the number of connections of clients and to targets that may be open at once.
func (l Limits) Total() int {
	return l.Descriptors - min(ownDescriptors, int(ownFraction*float64(l.Descriptors)))
}

// LimitHeap makes the garbage collector keep the heap below the memory of the process if possible.
func (l Limits) LimitHeap() {
	debug.SetMemoryLimit(int64(heapFraction * float64(l.MemoryBytes)))
}

// systemMemory returns the bytes of memory that the system gives this process.
func systemMemory() int {
	total := math.MaxInt64
	var i unix.Sysinfo_t
	if unix.Sysinfo(&i) == nil {
		total = int(uint64(i.Totalram) * uint64(i.Unit))
	}
	text, _ := os.ReadFile(cgroupLimit) // absent on systems without groups
	if n, err := strconv.Atoi(string(bytes.TrimSpace(text))); err == nil {
		total = min(total, n)
	}
	return total
}

// systemDescriptors returns the number of descriptors that the system lets this process open.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(limit.Cur)
}
