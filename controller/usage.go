package controller

import (
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"strings"
)

// usage is what the process takes of its machine, as the kernel counts it.
type usage struct {
	residentKB, peakKB int64
	threads            int64
	descriptors        int
}

// readUsage reads it; what the kernel does not tell is 0.
func readUsage() (u usage) {
	status, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		switch name {
		case "VmRSS":
			u.residentKB = n
		case "VmHWM":
			u.peakKB = n
		case "Threads":
			u.threads = n
		}
	}
	if open, err := os.ReadDir("/proc/self/fd"); err == nil {
		u.descriptors = len(open)
	}
	return u
}

// logUsage logs what the process takes, and what it holds for others. It reads files, so it is for without the lock.
func (c *Controller) logUsage() {
	u := readUsage()
	reading.mu.Lock()
	overdue := reading.overdue
	reading.mu.Unlock()
	c.do(func() {
		c.note(slog.LevelInfo, "usage", "resident_kb", u.residentKB, "peak_kb", u.peakKB, "limit_mb", c.cfg.MemoryMB, "threads", u.threads,
			"descriptors", u.descriptors, "goroutines", runtime.NumGoroutine(), "connections_bytes", c.held.Load(), "jobs_bytes", c.bytes,
			"lingering", c.lingering.Load(), "reads_overdue", overdue)
	})
}
