package config

import (
	"strings"
	"testing"
	"time"
)

// validConfig is a valid configuration.
const validConfig = `{"name":"n1","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","limits":{"cores":1.5},
"feed":"127.0.0.1:7070","known":{"n":0,"events":[]},"unknown":1,
"settings":{"classes":[{"name":"quick","aim":1000,"repeat":"retryable"}],
"permissions":{"connect_timeout":250000000,"streams_per_conn":32}}}`

// TestRead: values of the file, the override of its name, and defaults for limits that it does not set.
func TestRead(t *testing.T) {
	cfg, err := Read([]byte(validConfig), "n2", "")
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Name != "n2" || cfg.Listen != "127.0.0.1:5050" || cfg.Cores != 1.5 || cfg.MemoryMB != 192 || cfg.MaxDescriptors != 1024 ||
		cfg.Settings.Logic.Classes[0].LatencyTarget != 1000 || cfg.Settings.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("%+v", cfg)
	}
}

// TestFaulty: each error names the key, its value and the values that are allowed.
func TestFaulty(t *testing.T) {
	for _, testCase := range []struct{ old, new, message string }{
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
		_, err := Read([]byte(strings.Replace(validConfig, testCase.old, testCase.new, 1)), "", "")
		if err == nil || !strings.Contains(err.Error(), testCase.message) {
			t.Errorf("%s: %v", testCase.new, err)
		}
	}
}

// TestDiffers: RestartKeys lists only the keys whose change needs a restart.
func TestDiffers(t *testing.T) {
	cfg, _ := Read([]byte(validConfig), "", "")
	next, _ := Read([]byte(strings.NewReplacer("7070", "7071", `"cores":1.5`, `"cores":1`, "1000", "2000").Replace(validConfig)), "", "")
	if got := strings.Join(cfg.RestartKeys(next), " "); got != "limits.cores settings" || len(cfg.RestartKeys(cfg)) > 0 {
		t.Error(got)
	}
}

// TestFromEnvironment: an empty BALANCER_CONFIG is reported under its name.
func TestFromEnvironment(t *testing.T) {
	t.Setenv("BALANCER_CONFIG", "")
	if _, err := FromEnvironment(""); err == nil || !strings.HasPrefix(err.Error(), "BALANCER_CONFIG:") {
		t.Error(err)
	}
}
