// Package config is the one place where configuration is read, checked and given defaults.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"yarrowbarrow/config/lang"
	"yarrowbarrow/decide/route"
)

// Config is all that a controller is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string // where the list of engines comes from
	Known     json.RawMessage
	Seed      int64
	Cores     float64
	MemoryMB  int64
	Sockets   int // file descriptors
	Settings  Settings
	// The operators' routes, of their file; nil without one.
	Plan     *route.Plan
	Fleet    *lang.Fleet   // whom this instance talks to; nil: to nobody
	Messages lang.Messages // of its check, also where it was faulty
}

// FromEnvironment reads the file that BALANCER_CONFIG names; BALANCER_NAME and BALANCER_LISTEN go before it. The
// operators' file is read and checked against it, where one is named.
func FromEnvironment(operators string) (Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return Config{}, faulty("BALANCER_CONFIG", path, "the path of the configuration file")
	}
	raw, err := readFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	c, err := Read(raw, os.Getenv("BALANCER_NAME"), os.Getenv("BALANCER_LISTEN"))
	if err == nil && operators != "" {
		err = c.readOperators(operators)
	}
	return c, err
}

// mostFile is the longest configuration in bytes: the longest list that discovery may tell, and as much again of settings as any
// deployment has.
const mostFile = 10 << 20

// readFile reads a file, or a pipe, that may be of any length.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > mostFile {
		return nil, fmt.Errorf("%d bytes, at most %d are read", info.Size(), mostFile)
	}
	raw, err := io.ReadAll(io.LimitReader(f, mostFile+1))
	if err == nil && len(raw) > mostFile {
		err = fmt.Errorf("more than %d bytes", mostFile)
	}
	return raw, err
}

func (c *Config) readOperators(path string) error {
	platform := c.Platform()
	loaded := lang.Load(path, &platform)
	c.Plan, c.Fleet, c.Messages = loaded.Plan, loaded.Fleet, loaded.Messages
	return loaded.Messages.Err()
}

// Read takes the file's text; a name and an address to listen on that are not empty go before the file's.
func Read(raw []byte, name, listen string) (Config, error) {
	// What a small machine of ours has, where nothing is said.
	c := Config{Cores: 1, MemoryMB: 192, Sockets: 1024}
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Seed      string          `json:"seed"`
		Discovery string          `json:"feed"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
		Limits    struct {
			Cores    *float64 `json:"cores"`
			MemoryMB *int64   `json:"memory_mb"`
			Sockets  *int     `json:"sockets"`
		} `json:"limits"`
	}
	if err := decode("", raw, &file); err != nil {
		return c, err
	}
	c.Name, c.Listen, c.Discovery, c.Known = file.Name, file.Listen, file.Discovery, file.Known
	override(&c.Name, name)
	override(&c.Listen, listen)
	set(&c.Cores, file.Limits.Cores)
	set(&c.MemoryMB, file.Limits.MemoryMB)
	set(&c.Sockets, file.Limits.Sockets)
	seed, seedErr := strconv.ParseUint(file.Seed, 16, 64)
	c.Seed = int64(seed)
	if len(file.Settings) == 0 {
		return c, faulty("settings", "", "an object")
	}
	if len(c.Known) == 0 {
		return c, faulty("known", "", "the events of discovery up to now")
	}
	var err error
	if c.Settings, err = ReadSettings(file.Settings); err != nil {
		return c, err
	}
	s := &c.Settings
	return c, errors.Join(
		check(c.Name != "", "name", c.Name, "a name"),
		check(isAddress(c.Listen), "listen", c.Listen, "an address such as 127.0.0.1:5050"),
		check(isAddress(c.Discovery), "feed", c.Discovery, "an address such as 127.0.0.1:7070"),
		check(seedErr == nil, "seed", file.Seed, "up to 16 hex digits"),
		check(c.Cores > 0 && c.Cores <= 1024, "limits.cores", c.Cores, "above 0 to 1024"),
		check(c.MemoryMB >= 32, "limits.memory_mb", c.MemoryMB, "32 or more"),
		check(c.Sockets >= 64, "limits.sockets", c.Sockets, "64 or more"),
		check(s.ConnectTimeout > 0, "settings.permissions.connect_timeout", s.ConnectTimeout, "above 0"),
		check(s.IdleClose >= 0, "settings.permissions.idle_close", s.IdleClose, "0 (never) or above"),
		check(s.DrainGrace >= 0, "settings.safety.drain_grace", s.DrainGrace, "0 (not told) or above"),
		check(s.Streams > 0, "settings.permissions.streams_per_conn", s.Streams, "1 or more"),
		check(s.OpenCap >= 0, "settings.permissions.open_cap", s.OpenCap, "0 (no limit) or above"))
}

// Differs names the keys whose values differ in another configuration and that a running controller can't take
// over. Discovery it can; the seed and what is known are of a start.
func (c Config) Differs(next Config) (keys []string) {
	for key, differs := range map[string]bool{
		"name": c.Name != next.Name, "listen": c.Listen != next.Listen, "limits.cores": c.Cores != next.Cores,
		"limits.memory_mb": c.MemoryMB != next.MemoryMB, "limits.sockets": c.Sockets != next.Sockets,
		"settings": !reflect.DeepEqual(c.Settings, next.Settings),
	} {
		if differs {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func override(value *string, with string) {
	if with != "" {
		*value = with
	}
}

func set[T any](value *T, with *T) {
	if with != nil {
		*value = *with
	}
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

func check(holds bool, key string, value any, allowed string) error {
	if holds {
		return nil
	}
	return faulty(key, value, allowed)
}

func faulty(key string, value any, allowed string) error {
	if d, is := value.(time.Duration); is {
		value = int64(d)
	}
	return fmt.Errorf("%s: %q is not allowed, wanted: %s", key, fmt.Sprint(value), allowed)
}

// decode names the key of a value that has the wrong form.
func decode(at string, raw []byte, into any) error {
	err := json.Unmarshal(raw, into)
	var form *json.UnmarshalTypeError
	switch {
	case errors.As(err, &form):
		key := strings.ToLower(form.Field) // as the file has it: fields without a tag are named by their Go name
		if at != "" {
			key = at + "." + key
		}
		return faulty(key, form.Value, form.Type.String())
	case err != nil && at == "":
		return fmt.Errorf("configuration: %w", err)
	case err != nil:
		return fmt.Errorf("%s: %w", at, err)
	}
	return nil
}
