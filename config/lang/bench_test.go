package lang

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"
)

// writeLarge writes a configuration of 10,000 routes, 500 pools and 20 policies in 50 files, and returns the path of the first.
func writeLarge(tb testing.TB, dir string) string {
	var main strings.Builder
	main.WriteString("include = \"rooms/*.conf\"\n")
	for n := range 20 {
		fmt.Fprintf(&main, "[policy \"p%d\"]\nheld = %d\nrate = %d/s\nfurther = 10%%\n\n", n, 100+n, 50+n)
	}
	if err := os.MkdirAll(filepath.Join(dir, "rooms"), 0o700); err != nil {
		tb.Fatal(err)
	}
	for room := range 49 {
		var text strings.Builder
		for pool := room * 500 / 49; pool < (room+1)*500/49; pool++ {
			fmt.Fprintf(&text, "# Pool %d of room %d.\n[pool \"pool-%d\"]\nlocation = room-%d\nid       = s-%03x*\nminimum  = 50%%\n\n", pool, room, pool, room, pool)
		}
		for number := room * 10_000 / 49; number < (room+1)*10_000/49; number++ {
			fmt.Fprintf(&text, "[route \"route-%d\"]\nmatch    = type in (lookup, load) and customer = org-%d and (cost < %dcore-ms or tables in (%d..%d))\n",
				number, number, 100+number%900, number%100, number%100+20)
			fmt.Fprintf(&text, "pool     = pool-%d\nfallback = pool-%d\npolicy   = p%d\n\n", number%500, (number+7)%500, number%20)
		}
		if err := os.WriteFile(filepath.Join(dir, "rooms", fmt.Sprintf("room-%02d.conf", room)), []byte(text.String()), 0o600); err != nil {
			tb.Fatal(err)
		}
	}
	path := filepath.Join(dir, "operator.conf")
	if err := os.WriteFile(path, []byte(main.String()), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}

func BenchmarkCheck(b *testing.B) {
	dir := b.TempDir()
	if keptDir := os.Getenv("LARGE_CONF"); keptDir != "" { // keeps the files, to measure the command with them
		dir = keptDir
	}
	path := writeLarge(b, dir)
	for b.Loop() {
		if loaded := Load(path, nil); len(loaded.Messages) > 0 || len(loaded.Plan.Routes) != 10_000 {
			b.Fatal(loaded.Messages)
		}
	}
	var memStats runtime.MemStats
	runtime.ReadMemStats(&memStats)
	b.ReportMetric(float64(memStats.Sys>>20), "MB-from-system")
}

// TestLargeInTime: 10,000 routes must load within a minute. The limit is generous because it also applies to slow machines with the
// race detector; results.md has the measured time.
func TestLargeInTime(t *testing.T) {
	path := writeLarge(t, t.TempDir())
	started := time.Now()
	if loaded := Load(path, nil); len(loaded.Messages) > 0 || len(loaded.Plan.Routes) != 10_000 || len(loaded.Files) != 50 {
		t.Error(loaded.Messages)
	}
	if elapsed := time.Since(started); elapsed > time.Minute {
		t.Error("took ", elapsed)
	}
}
