package lang

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"
)

// Fleet is whom an instance talks to. Zero values stand for what was not set.
type Fleet struct {
	Name    string
	Port    uint16   // at the address on which clients are served, UDP and TCP
	Told    string   // the address that others are told, where it is another
	Seeds   []string // addresses with ports
	KeyFile string
	Period  time.Duration
	Members int
	Traffic int    // bytes a second, each way
	Status  string // path of a local socket that tells what is known
}

// What is taken where nothing is said. A probe a second finds a loss within some seconds; 64 KB a second each way is some
// four times what a fleet of 300 needs.
const (
	defaultPort    = 7946
	defaultPeriod  = time.Second
	defaultMembers = 1000
	defaultTraffic = 64_000
)

// fleets reads the one section that says whom instances talk to.
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
		fleet := &Fleet{Name: s.name, Port: defaultPort, Period: defaultPeriod, Members: defaultMembers, Traffic: defaultTraffic}
		if value := settings["port"]; value != nil {
			fleet.Port = uint16(value.quantity.Value)
		}
		if value := settings["period"]; value != nil {
			fleet.Period = time.Duration(value.quantity.Value)
		}
		if value := settings["members"]; value != nil {
			fleet.Members = int(value.quantity.Value)
		}
		if value := settings["traffic"]; value != nil {
			fleet.Traffic = int(value.quantity.Value)
		}
		if value := settings["status"]; value != nil {
			fleet.Status = value.names[0]
		}
		if value := settings["advertise"]; value != nil {
			if address, err := netip.ParseAddrPort(value.names[0]); err != nil || address.Port() == 0 {
				c.reportError(value.line, value.columns[0], fmt.Sprintf("advertise: %q is no address", value.names[0]), `an address such as "10.0.0.4:7946"`)
			}
			fleet.Told = value.names[0]
		}
		c.readKeyFileSetting(s, fleet)
		c.readSeeds(s, fleet)
		c.fleet = fleet
	}
}

func (c *checker) readKeyFileSetting(s *section, fleet *Fleet) {
	switch value := c.settings[s]["key-file"]; {
	case value != nil && !filepath.IsAbs(value.names[0]):
		c.reportError(value.line, value.columns[0], fmt.Sprintf("key-file: %q is no whole path", value.names[0]), `a path such as "/etc/yarrowbarrow/fleet.key"`)
	case value != nil:
		fleet.KeyFile = value.names[0]
	case !c.hasUnreadableKey(s, "key-file"):
		c.reportError(s.line, s.column, "a fleet without a key-file", "key-file = the path of a file with the key that all instances share")
	}
}

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
			c.reportError(value.line, value.columns[index], fmt.Sprintf("seeds: %q is no address", name), `addresses such as "10.0.0.4" or "10.0.0.4:`+
				strconv.Itoa(int(fleet.Port))+`"`)
			continue
		}
		fleet.Seeds = append(fleet.Seeds, address.String())
	}
}
