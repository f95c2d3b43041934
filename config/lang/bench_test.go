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

// writeLarge writes 10,000 routes over 500 pools in 50 files, and 20 policies.
func writeLarge(tb testing.TB, dir string) string {
	var main strings.Builder
	main.WriteString("include = \"rooms/*.conf\"\n")
	for n := range 20 {
		fmt.Fprintf(&main, "[policy \"p%d\"]\nheld = %d\nrate = %d/s\nfurther = 10%%\n\n", n, 100+n, 50+n)
	}
	if err := os.MkdirAll(filepath.Join(dir, "rooms"), 0o700); err != nil {
		tb.Fatal(err)
	}
	for f := range 49 {
		var b strings.Builder
		for p := f * 500 / 49; p < (f+1)*500/49; p++ {
			fmt.Fprintf(&b, "# Pool %d of room %d.\n[pool \"pool-%d\"]\nlocation = room-%d\nid       = s-%03x*\nminimum  = 50%%\n\n", p, f, p, f, p)
		}
		for r := f * 10_000 / 49; r < (f+1)*10_000/49; r++ {
			fmt.Fprintf(&b, "[route \"route-%d\"]\nmatch    = type in (lookup, load) and customer = org-%d and (cost < %dcore-ms or tables in (%d..%d))\n",
				r, r, 100+r%900, r%100, r%100+20)
			fmt.Fprintf(&b, "pool     = pool-%d\nfallback = pool-%d\npolicy   = p%d\n\n", r%500, (r+7)%500, r%20)
		}
		if err := os.WriteFile(filepath.Join(dir, "rooms", fmt.Sprintf("room-%02d.conf", f)), []byte(b.String()), 0o600); err != nil {
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
	if keep := os.Getenv("LARGE_CONF"); keep != "" { // to measure the command with
		dir = keep
	}
	path := writeLarge(b, dir)
	for b.Loop() {
		if c := Load(path, nil); len(c.Messages) > 0 || len(c.Plan.Routes) != 10_000 {
			b.Fatal(c.Messages)
		}
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.Sys>>20), "MB-from-system")
}

// TestLargeInTime: the bound is wide, as it is for slow machines under the race detector; results.md has the figure.
func TestLargeInTime(t *testing.T) {
	path := writeLarge(t, t.TempDir())
	from := time.Now()
	if c := Load(path, nil); len(c.Messages) > 0 || len(c.Plan.Routes) != 10_000 || len(c.Files) != 50 {
		t.Error(c.Messages)
	}
	if took := time.Since(from); took > time.Minute {
		t.Error("took ", took)
	}
}
