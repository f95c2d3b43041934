package listing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yarrowbarrow/logic"
)

func event(n int, whole bool, host, state string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"whole":%v,"hosts":[{"host":%q,"dial":"127.0.0.1:1","health":%q,"born_ms":2}]}}`,
		n, whole, host, state)
}

func TestRead(t *testing.T) {
	whole, change, again := event(1, true, "a", "active"), event(2, false, "a", "leaving"), event(3, true, "b", "left")
	for _, c := range []struct {
		name, events   string
		n, after, last int64
		want           string
		gap, bad       bool
	}{
		{name: "from the start", n: 2, events: whole + "," + change, last: 2, want: "whole a0 end change a1 end"},
		{name: "repeated", n: 2, after: 1, events: whole + "," + change, last: 2, want: "change a1 end"},
		{name: "none new", n: 2, after: 2, last: 2},
		{name: "older", n: 1, after: 2, last: 2, gap: true},
		{name: "skipped", n: 2, after: 0, events: change, gap: true},
		{name: "skipped, then whole", n: 3, after: 1, events: again, last: 3, want: "whole b2 end"},
		{name: "cut short", n: 3, after: 1, events: change, last: 2, want: "change a1 end", gap: true},
		{name: "unknown state", n: 2, after: 1, events: event(2, false, "a", "asleep"), last: 1, bad: true},
		{name: "no name", n: 2, after: 1, events: event(2, false, "", "active"), last: 1, bad: true},
		{name: "another kind of event", n: 2, after: 1, events: `{"n":2,"else":1}`, last: 2},
	} {
		var got []string
		last, gap, err := Read(fmt.Appendf(nil, `{"n":%d,"events":[%s]}`, c.n, c.events), c.after, func(whole bool) {
			got = append(got, map[bool]string{true: "whole", false: "change"}[whole])
		}, func(id logic.EngineID, _ string, _ logic.Location, _ logic.KindName, _ logic.Cell, state logic.Health,
			_ float64, since time.Duration) {
			if since != 2*time.Millisecond {
				t.Error(c.name, since)
			}
			got = append(got, fmt.Sprint(id, int(state)))
		}, func() { got = append(got, "end") })
		if last != c.last || gap != c.gap || (err != nil) != c.bad {
			t.Errorf("%s: last %d, gap %v, %v", c.name, last, gap, err)
		}
		if diff := cmp.Diff(c.want, strings.Join(got, " ")); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
