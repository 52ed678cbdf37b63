package assembler

import (
	"math"
	"runtime/debug"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/fuchsiapitch/fuchsiapitch/internal/acceptor"
)

const (
	// maxBodyMemory bounds the memory for the bodies of requests, in bytes.
	maxBodyMemory = 256 << 20
	// bodyMemoryDivisor divides the memory limit of the Go runtime, if one is set. The quotient
	// bounds the memory for the bodies as well.
	bodyMemoryDivisor = 4
	// maxHeaderMemory and headerMemoryDivisor are the same for large headers of requests.
	maxHeaderMemory     = 32 << 20
	headerMemoryDivisor = 8
)

// runtimeMemoryLimit returns the memory limit of the Go runtime in bytes, which the variable
// GOMEMLIMIT sets, 0 for none.
func runtimeMemoryLimit() int64 {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit
	}
	return 0
}

// bodyMemory returns the memory for the bodies of requests in bytes.
func bodyMemory() int64 {
	if limit := runtimeMemoryLimit(); limit > 0 {
		return min(maxBodyMemory, limit/bodyMemoryDivisor)
	}
	return maxBodyMemory
}

// headerMemory returns the memory for large headers of requests in bytes.
func headerMemory() int64 {
	if limit := runtimeMemoryLimit(); limit > 0 {
		return min(maxHeaderMemory, limit/headerMemoryDivisor)
	}
	return maxHeaderMemory
}

// maxDescriptors returns the limit of the process for descriptors, 0 if it is unknown.
func maxDescriptors(log zerolog.Logger) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		log.Warn().Err(err).Msg("failed to read the limit for descriptors")
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// maxConnections returns how many connections of clients the host may have, which follows from the
// limit of the process for descriptors and the memory limit of the Go runtime. 0 stands for no
// bound.
func maxConnections(log zerolog.Logger) int {
	return acceptor.MaxConnections(maxDescriptors(log), runtimeMemoryLimit())
}
