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

// readUsage reads the current usage; what the kernel does not report is 0.
func readUsage() (u usage) {
	status, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		number, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		switch name {
		case "VmRSS":
			u.residentKB = number
		case "VmHWM":
			u.peakKB = number
		case "Threads":
			u.threads = number
		}
	}
	if open, err := os.ReadDir("/proc/self/fd"); err == nil {
		u.descriptors = len(open)
	}
	return u
}

// logUsage logs what the process takes and what it holds for others. It reads files and must be called without the lock.
func (c *Controller) logUsage() {
	u := readUsage()
	runner.mu.Lock()
	overdue := runner.overdueTasks
	runner.mu.Unlock()
	c.withLock(func() {
		c.logEvent(slog.LevelInfo, "usage", "resident_kb", u.residentKB, "peak_kb", u.peakKB, "limit_mb", c.cfg.MemoryMB, "threads", u.threads,
			"descriptors", u.descriptors, "goroutines", runtime.NumGoroutine(), "connections_bytes", c.connBytes.Load(), "jobs_bytes", c.jobBytes,
			"lingering", c.lingeringConns.Load(), "reads_overdue", overdue)
	})
}
