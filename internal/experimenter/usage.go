package experimenter

import (
	"bytes"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"
)

// resourceUsage is the processor time and memory allocation of this process
// since its start, or between two readings.
type resourceUsage struct {
	processorTime  time.Duration
	allocatedBytes uint64
	allocations    uint64
}

// readUsage returns the usage of this process so far.
func readUsage() resourceUsage {
	var r syscall.Rusage
	// Getrusage fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{
		processorTime:  time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		allocatedBytes: m.TotalAlloc, allocations: m.Mallocs,
	}
}

// since returns the usage since an earlier reading.
func (u resourceUsage) since(earlier resourceUsage) resourceUsage {
	return resourceUsage{
		processorTime:  u.processorTime - earlier.processorTime,
		allocatedBytes: u.allocatedBytes - earlier.allocatedBytes, allocations: u.allocations - earlier.allocations,
	}
}

// residentBytes returns the resident memory of this process after a garbage
// collection that returns free memory to the system, 0 if it cannot be read.
func residentBytes() float64 {
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(data)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(string(fields[1]), 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}
