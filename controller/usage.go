package controller

import (
	"log/slog"
	"os"
	"runtime"
	"runtime/metrics"
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

// runtimeMemory is what the Go runtime holds, in bytes: objects that are in use or not collected yet, stacks, the rest, and
// what was left in use by the last collection.
type runtimeMemory struct{ objects, stacks, other, live uint64 }

// readRuntimeMemory reads the runtime's own counts, without stopping the process.
func readRuntimeMemory() runtimeMemory {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	value := func(index int) uint64 {
		if samples[index].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return samples[index].Value.Uint64()
	}
	m := runtimeMemory{objects: value(0), stacks: value(1), live: value(4)}
	m.other = value(2) - value(3) - m.objects - m.stacks
	return m
}

// logUsage logs what the process takes and what it holds for others. It reads files and must be called without the lock.
func (c *Controller) logUsage() {
	u, m := readUsage(), readRuntimeMemory()
	runner.mu.Lock()
	overdue := runner.overdueTasks
	runner.mu.Unlock()
	c.withLock(func() {
		c.logEvent(slog.LevelInfo, "usage", "resident_kb", u.residentKB, "peak_kb", u.peakKB, "limit_mb", c.cfg.MemoryMB, "threads", u.threads,
			"descriptors", u.descriptors, "goroutines", runtime.NumGoroutine(), "connections_bytes", c.connBytes.Load(), "jobs_bytes", c.jobBytes,
			"lingering", c.lingeringConns.Load(), "reads_overdue", overdue, "objects_kb", m.objects>>10, "live_kb", m.live>>10,
			"stacks_kb", m.stacks>>10, "runtime_kb", m.other>>10)
	})
}
