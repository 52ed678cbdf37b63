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

// usage is what this process has used since its start.
type usage struct {
	processor time.Duration
	bytes     uint64
	mallocs   uint64
}

// readUsage returns the usage of this process so far.
func readUsage() usage {
	var r syscall.Rusage
	// It fails only for a bad argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		bytes:     m.TotalAlloc, mallocs: m.Mallocs,
	}
}

// since returns the usage from an earlier reading to this one.
func (u usage) since(earlier usage) usage {
	return usage{
		processor: u.processor - earlier.processor,
		bytes:     u.bytes - earlier.bytes, mallocs: u.mallocs - earlier.mallocs,
	}
}

// residentBytes returns the resident memory of this process after garbage has
// been returned to the system, 0 if the system does not tell.
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
