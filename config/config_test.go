package config

import (
	"strings"
	"testing"
	"time"
)

const good = `{"name":"n1","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","limits":{"cores":1.5},
"feed":"127.0.0.1:7070","known":{"n":0,"events":[]},"unknown":1,
"settings":{"classes":[{"name":"quick","aim":1000,"repeat":"retryable"}],
"permissions":{"connect_timeout":250000000,"streams_per_conn":32}}}`

func TestRead(t *testing.T) {
	c, err := Read([]byte(good), "n2", "")
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n2" || c.Listen != "127.0.0.1:5050" || c.Cores != 1.5 || c.MemoryMB != 192 || c.Sockets != 1024 ||
		c.Settings.Logic.Classes[0].LatencyTarget != 1000 || c.Settings.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("%+v", c)
	}
}

// TestFaulty: each message names the key, what it holds and what it may hold.
func TestFaulty(t *testing.T) {
	for _, c := range []struct{ old, new, message string }{
		{`"feed":"127.0.0.1:7070"`, `"feed":"nowhere"`, `feed: "nowhere" is not allowed, wanted: an address`},
		{`8c1f`, `xyz`, "seed:"},
		{`"cores":1.5`, `"cores":0`, `limits.cores: "0"`},
		{`"cores":1.5`, `"cores":"one"`, `limits.cores: "string" is not allowed, wanted: float64`},
		{`"cores":1.5`, `"sockets":3`, `limits.sockets: "3"`},
		{`"known":{"n":0,"events":[]},`, ``, "known:"},
		{`"retryable"`, `"maybe"`, `settings.classes[0].repeat: "maybe" is not allowed, wanted: retryable`},
		{`250000000`, `0`, `settings.permissions.connect_timeout: "0"`},
		{`"streams_per_conn":32`, `"streams_per_conn":-1`, `settings.permissions.streams_per_conn: "-1"`},
		{`"aim":1000`, `"aim":"soon"`, `settings.classes.aim: "string"`},
		{`{"name":"n1"`, `{`, "configuration:"},
	} {
		_, err := Read([]byte(strings.Replace(good, c.old, c.new, 1)), "", "")
		if err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
}

// TestDiffers: what only a restart can change is named.
func TestDiffers(t *testing.T) {
	c, _ := Read([]byte(good), "", "")
	next, _ := Read([]byte(strings.NewReplacer("7070", "7071", `"cores":1.5`, `"cores":1`, "1000", "2000").Replace(good)), "", "")
	if got := strings.Join(c.Differs(next), " "); got != "limits.cores settings" || len(c.Differs(c)) > 0 {
		t.Error(got)
	}
}

func TestFromEnvironment(t *testing.T) {
	t.Setenv("BALANCER_CONFIG", "")
	if _, err := FromEnvironment(""); err == nil || !strings.HasPrefix(err.Error(), "BALANCER_CONFIG:") {
		t.Error(err)
	}
}
