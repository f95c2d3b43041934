package lang

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"
)

// Fleet configures how instances find and contact each other. A zero value means that a setting is absent.
type Fleet struct {
	Name              string
	Port              uint16   // UDP and TCP port, at the address that serves clients
	AdvertiseAddress  string   // address advertised to other instances, if it differs
	SeedAddresses     []string // addresses with ports of some instances
	KeyFile           string
	ProbePeriod       time.Duration
	MaxMembers        int
	MaxBytesPerSecond int    // bytes per second in each direction
	StatusSocket      string // path of a local socket that serves the known state
}

// Defaults. One probe per second detects a failure within a few seconds; 64 KB per second in each direction is about four times
// what a fleet of 300 instances needs.
const (
	defaultPort    = 7946
	defaultPeriod  = time.Second
	defaultMembers = 1000
	defaultTraffic = 64_000
)

// buildFleet builds the fleet from its section, of which there may be at most one.
func (c *checker) buildFleet() {
	var first *section
	for _, s := range c.sections {
		if s.kind != "fleet" {
			continue
		}
		if first != nil {
			c.reportError(s.line, s.column, "a second fleet", "one at most", Related{first.line.file.path, first.line.number, "the first one"})
			continue
		}
		first = s
		settings := c.settings[s]
		fleet := &Fleet{Name: s.name, Port: defaultPort, ProbePeriod: defaultPeriod, MaxMembers: defaultMembers, MaxBytesPerSecond: defaultTraffic}
		if value := settings["port"]; value != nil {
			fleet.Port = uint16(value.quantity.Value)
		}
		if value := settings["period"]; value != nil {
			fleet.ProbePeriod = time.Duration(value.quantity.Value)
		}
		if value := settings["members"]; value != nil {
			fleet.MaxMembers = int(value.quantity.Value)
		}
		if value := settings["traffic"]; value != nil {
			fleet.MaxBytesPerSecond = int(value.quantity.Value)
		}
		if value := settings["status"]; value != nil {
			fleet.StatusSocket = value.names[0]
		}
		if value := settings["advertise"]; value != nil {
			if address, err := netip.ParseAddrPort(value.names[0]); err != nil || address.Port() == 0 {
				c.reportError(value.line, value.columns[0], fmt.Sprintf("advertise: %q is no address", value.names[0]),
					`an address such as "10.0.0.4:7946"`)
			}
			fleet.AdvertiseAddress = value.names[0]
		}
		c.readKeyFileSetting(s, fleet)
		c.readSeeds(s, fleet)
		c.fleet = fleet
	}
}

// readKeyFileSetting reads the path of the key file, which is required and must be absolute.
func (c *checker) readKeyFileSetting(s *section, fleet *Fleet) {
	switch value := c.settings[s]["key-file"]; {
	case value != nil && !filepath.IsAbs(value.names[0]):
		c.reportError(value.line, value.columns[0], fmt.Sprintf("key-file: %q is no whole path", value.names[0]),
			`a path such as "/etc/yarrowbarrow/fleet.key"`)
	case value != nil:
		fleet.KeyFile = value.names[0]
	case !c.hasUnreadableKey(s, "key-file"):
		c.reportError(s.line, s.column, "a fleet without a key-file", "key-file = the path of a file with the key that all instances share")
	}
}

// readSeeds reads the addresses of the seeds, which are required. The port defaults to that of the fleet.
func (c *checker) readSeeds(s *section, fleet *Fleet) {
	value := c.settings[s]["seeds"]
	if value == nil {
		if !c.hasUnreadableKey(s, "seeds") {
			c.reportError(s.line, s.column, "a fleet without seeds", "seeds = the addresses of some instances")
		}
		return
	}
	for index, name := range value.names {
		address, err := netip.ParseAddrPort(name)
		if host, hostErr := netip.ParseAddr(name); hostErr == nil {
			address, err = netip.AddrPortFrom(host, fleet.Port), nil
		}
		if err != nil || address.Port() == 0 {
			c.reportError(value.line, value.columns[index], fmt.Sprintf("seeds: %q is no address", name),
				`addresses such as "10.0.0.4" or "10.0.0.4:`+strconv.Itoa(int(fleet.Port))+`"`)
			continue
		}
		fleet.SeedAddresses = append(fleet.SeedAddresses, address.String())
	}
}
