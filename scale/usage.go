package scale

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// readProcessStats returns the resource usage of the current process.
func readProcessStats() (ProcessStats, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return ProcessStats{}, fmt.Errorf("scale: processor time: %w", err)
	}
	rss, err := residentBytes()
	if err != nil {
		return ProcessStats{}, err
	}
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return ProcessStats{}, fmt.Errorf("scale: descriptors: %w", err)
	}
	return ProcessStats{
		PID: os.Getpid(), At: time.Now(), CPU: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), RSS: rss,
		Descriptors: len(descriptors), Goroutines: runtime.NumGoroutine(),
	}, nil
}

// residentBytes returns the resident set size of the current process.
func residentBytes() (int64, error) {
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, fmt.Errorf("scale: memory: %w", err)
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, fmt.Errorf("scale: memory: %q", content)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("scale: memory: %w", err)
	}
	return pages * int64(os.Getpagesize()), nil
}
