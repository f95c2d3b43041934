package listing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yarrowbarrow/logic"
)

// eventJSON returns a membership event with one engine.
func eventJSON(number int, snapshot bool, engine, health string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"whole":%v,"hosts":[{"host":%q,"dial":"127.0.0.1:1","health":%q,"born_ms":2}]}}`,
		number, snapshot, engine, health)
}

func TestRead(t *testing.T) {
	snapshot, change, laterSnapshot := eventJSON(1, true, "a", "active"), eventJSON(2, false, "a", "leaving"), eventJSON(3, true, "b", "left")
	for _, c := range []struct {
		name, events            string
		newest, after, lastRead int64
		want                    string
		gap, bad                bool
	}{
		{name: "from the start", newest: 2, events: snapshot + "," + change, lastRead: 2, want: "whole a0 end change a1 end"},
		{name: "repeated", newest: 2, after: 1, events: snapshot + "," + change, lastRead: 2, want: "change a1 end"},
		{name: "no new event", newest: 2, after: 2, lastRead: 2},
		{name: "response older than the last event read", newest: 1, after: 2, lastRead: 2, gap: true},
		{name: "missing event", newest: 2, after: 0, events: change, gap: true},
		{name: "missing event before a snapshot", newest: 3, after: 1, events: laterSnapshot, lastRead: 3, want: "whole b2 end"},
		{name: "newest event missing", newest: 3, after: 1, events: change, lastRead: 2, want: "change a1 end", gap: true},
		{name: "unknown health", newest: 2, after: 1, events: eventJSON(2, false, "a", "asleep"), lastRead: 1, bad: true},
		{name: "engine without a name", newest: 2, after: 1, events: eventJSON(2, false, "", "active"), lastRead: 1, bad: true},
		{name: "unknown kind of event", newest: 2, after: 1, events: `{"n":2,"else":1}`, lastRead: 2},
	} {
		var got []string
		lastRead, gap, err := Replay(fmt.Appendf(nil, `{"n":%d,"events":[%s]}`, c.newest, c.events), c.after, func(snapshot bool) {
			got = append(got, map[bool]string{true: "whole", false: "change"}[snapshot])
		}, func(id logic.EngineID, _ string, _ logic.Location, _ logic.KindName, _ logic.Cell, state logic.Health,
			_ float64, since time.Duration) {
			if since != 2*time.Millisecond {
				t.Error(c.name, since)
			}
			got = append(got, fmt.Sprint(id, int(state)))
		}, func() { got = append(got, "end") })
		if lastRead != c.lastRead || gap != c.gap || (err != nil) != c.bad {
			t.Errorf("%s: last event %d, gap %v, error %v", c.name, lastRead, gap, err)
		}
		if diff := cmp.Diff(c.want, strings.Join(got, " ")); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
