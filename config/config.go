// Package config reads and validates the configuration of a controller and applies its defaults. No other package does this.
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

// Config is the complete configuration of a controller at startup.
type Config struct {
	Name             string
	Listen           string          // address for client connections
	Discovery        string          // address of the discovery service, the source of the list of engines
	InitialDiscovery json.RawMessage // discovery events up to the start, in the format of the discovery service
	Seed             int64
	Cores            float64
	MemoryMB         int64
	MaxDescriptors   int // limit on file descriptors
	Settings         Settings
	// Plan holds the routes of the operators' file; nil without a file.
	Plan     *route.Plan
	Fleet    *lang.Fleet   // peers of this instance; nil if it has none
	Messages lang.Messages // findings in the operators' file, also set if its check failed
}

// FromEnvironment reads the configuration file named by BALANCER_CONFIG. BALANCER_NAME and BALANCER_LISTEN override its
// name and listen address if they are not empty. If operatorsPath is not empty, the operators' file there is read and checked
// against the configuration.
func FromEnvironment(operatorsPath string) (Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return Config{}, invalidValue("BALANCER_CONFIG", path, "the path of the configuration file")
	}
	raw, err := readFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	cfg, err := Read(raw, os.Getenv("BALANCER_NAME"), os.Getenv("BALANCER_LISTEN"))
	if err == nil && operatorsPath != "" {
		err = cfg.loadOperators(operatorsPath)
	}
	return cfg, err
}

// maxConfigBytes limits the size of the configuration file. It has room for the longest list of engines that discovery may
// send, plus the largest settings of any deployment.
const maxConfigBytes = 10 << 20

// readFile reads a file or a pipe and fails if it has more than maxConfigBytes. The size of a pipe is known only after reading,
// so the limit is checked again then.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("file has %d bytes, the maximum is %d", info.Size(), maxConfigBytes)
	}
	raw, err := io.ReadAll(io.LimitReader(f, maxConfigBytes+1))
	if err == nil && len(raw) > maxConfigBytes {
		err = fmt.Errorf("file is larger than the maximum of %d bytes", maxConfigBytes)
	}
	return raw, err
}

// loadOperators loads the operators' file and checks it against the platform's settings in c. The messages are set in any case.
func (c *Config) loadOperators(path string) error {
	platform := c.Platform()
	loaded := lang.Load(path, &platform)
	c.Plan, c.Fleet, c.Messages = loaded.Plan, loaded.Fleet, loaded.Messages
	return loaded.Messages.Err()
}

// Read parses and validates the text of a configuration file. A non-empty name or listen address overrides that of the file.
func Read(raw []byte, name, listen string) (Config, error) {
	// The defaults for limits that the file does not set are those of a small machine.
	cfg := Config{Cores: 1, MemoryMB: 192, MaxDescriptors: 1024}
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
		return cfg, err
	}
	cfg.Name, cfg.Listen, cfg.Discovery, cfg.InitialDiscovery = file.Name, file.Listen, file.Discovery, file.Known
	overrideIfSet(&cfg.Name, name)
	overrideIfSet(&cfg.Listen, listen)
	setIfPresent(&cfg.Cores, file.Limits.Cores)
	setIfPresent(&cfg.MemoryMB, file.Limits.MemoryMB)
	setIfPresent(&cfg.MaxDescriptors, file.Limits.Sockets)
	seed, seedErr := strconv.ParseUint(file.Seed, 16, 64)
	cfg.Seed = int64(seed)
	if len(file.Settings) == 0 {
		return cfg, invalidValue("settings", "", "an object")
	}
	if len(cfg.InitialDiscovery) == 0 {
		return cfg, invalidValue("known", "", "the discovery events up to now")
	}
	var err error
	if cfg.Settings, err = ReadSettings(file.Settings); err != nil {
		return cfg, err
	}
	settings := &cfg.Settings
	return cfg, errors.Join(
		checkValue(cfg.Name != "", "name", cfg.Name, "a non-empty name"),
		checkValue(isAddress(cfg.Listen), "listen", cfg.Listen, "an address such as 127.0.0.1:5050"),
		checkValue(isAddress(cfg.Discovery), "feed", cfg.Discovery, "an address such as 127.0.0.1:7070"),
		checkValue(seedErr == nil, "seed", file.Seed, "up to 16 hex digits"),
		checkValue(cfg.Cores > 0 && cfg.Cores <= 1024, "limits.cores", cfg.Cores, "more than 0, up to 1024"),
		checkValue(cfg.MemoryMB >= 32, "limits.memory_mb", cfg.MemoryMB, "32 or more"),
		checkValue(cfg.MaxDescriptors >= 64, "limits.sockets", cfg.MaxDescriptors, "64 or more"),
		checkValue(settings.ConnectTimeout > 0, "settings.permissions.connect_timeout", settings.ConnectTimeout, "above 0"),
		checkValue(settings.IdleClose >= 0, "settings.permissions.idle_close", settings.IdleClose, "0 (never) or above"),
		checkValue(settings.DrainGrace >= 0, "settings.safety.drain_grace", settings.DrainGrace, "0 (not specified) or above"),
		checkValue(settings.JobsPerConnection > 0, "settings.permissions.streams_per_conn", settings.JobsPerConnection, "1 or more"),
		checkValue(settings.MaxOpenJobs >= 0, "settings.permissions.open_cap", settings.MaxOpenJobs, "0 (no limit) or above"))
}

// RestartKeys returns the sorted keys whose values differ in next and that take effect only after a restart. The address of
// discovery can change at runtime; the seed and the known events matter only at startup, so they are not compared.
func (c Config) RestartKeys(next Config) (keys []string) {
	for key, differs := range map[string]bool{
		"name": c.Name != next.Name, "listen": c.Listen != next.Listen, "limits.cores": c.Cores != next.Cores,
		"limits.memory_mb": c.MemoryMB != next.MemoryMB, "limits.sockets": c.MaxDescriptors != next.MaxDescriptors,
		"settings": !reflect.DeepEqual(c.Settings, next.Settings),
	} {
		if differs {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func overrideIfSet(value *string, replacement string) {
	if replacement != "" {
		*value = replacement
	}
}

func setIfPresent[T any](value *T, replacement *T) {
	if replacement != nil {
		*value = *replacement
	}
}

// isAddress reports whether s is an IP address with a port other than 0.
func isAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0
}

// checkValue returns nil if the value of key is valid, and an error that names the allowed values otherwise.
func checkValue(valid bool, key string, value any, allowed string) error {
	if valid {
		return nil
	}
	return invalidValue(key, value, allowed)
}

// invalidValue returns the error for a value that is not allowed. Durations are shown in nanoseconds, as in the file.
func invalidValue(key string, value any, allowed string) error {
	if duration, isDuration := value.(time.Duration); isDuration {
		value = int64(duration)
	}
	return fmt.Errorf("%s: %q is not allowed, wanted: %s", key, fmt.Sprint(value), allowed)
}

// decode unmarshals JSON into target. The error for a value of the wrong type names its key; parentKey is the key of the object
// that raw holds, or empty for the whole file.
func decode(parentKey string, raw []byte, target any) error {
	err := json.Unmarshal(raw, target)
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		key := strings.ToLower(typeErr.Field) // the key as in the file; fields without a tag are reported by their Go name
		if parentKey != "" {
			key = parentKey + "." + key
		}
		return invalidValue(key, typeErr.Value, typeErr.Type.String())
	case err != nil && parentKey == "":
		return fmt.Errorf("configuration: %w", err)
	case err != nil:
		return fmt.Errorf("%s: %w", parentKey, err)
	}
	return nil
}
