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
	usualPort    = 7946
	usualPeriod  = time.Second
	usualMembers = 1000
	usualTraffic = 64_000
)

// fleets reads the one section that says whom instances talk to.
func (c *checker) fleets() {
	var first *section
	for _, s := range c.sections {
		if s.kind != "fleet" {
			continue
		}
		if first != nil {
			c.say(s.at, s.col, "a second fleet", "one at most", Related{first.at.file.path, first.at.number, "the first one"})
			continue
		}
		first = s
		own := c.settings[s]
		f := &Fleet{Name: s.name, Port: usualPort, Period: usualPeriod, Members: usualMembers, Traffic: usualTraffic}
		if v := own["port"]; v != nil {
			f.Port = uint16(v.figure.Value)
		}
		if v := own["period"]; v != nil {
			f.Period = time.Duration(v.figure.Value)
		}
		if v := own["members"]; v != nil {
			f.Members = int(v.figure.Value)
		}
		if v := own["traffic"]; v != nil {
			f.Traffic = int(v.figure.Value)
		}
		if v := own["status"]; v != nil {
			f.Status = v.names[0]
		}
		if v := own["advertise"]; v != nil {
			if address, err := netip.ParseAddrPort(v.names[0]); err != nil || address.Port() == 0 {
				c.say(v.at, v.cols[0], fmt.Sprintf("advertise: %q is no address", v.names[0]), `an address such as "10.0.0.4:7946"`)
			}
			f.Told = v.names[0]
		}
		c.keyFile(s, f)
		c.seeds(s, f)
		c.fleet = f
	}
}

func (c *checker) keyFile(s *section, f *Fleet) {
	switch v := c.settings[s]["key-file"]; {
	case v != nil && !filepath.IsAbs(v.names[0]):
		c.say(v.at, v.cols[0], fmt.Sprintf("key-file: %q is no whole path", v.names[0]), `a path such as "/etc/yarrowbarrow/fleet.key"`)
	case v != nil:
		f.KeyFile = v.names[0]
	case !c.faulty(s, "key-file"):
		c.say(s.at, s.col, "a fleet without a key-file", "key-file = the path of a file with the key that all instances share")
	}
}

func (c *checker) seeds(s *section, f *Fleet) {
	v := c.settings[s]["seeds"]
	if v == nil {
		if !c.faulty(s, "seeds") {
			c.say(s.at, s.col, "a fleet without seeds", "seeds = the addresses of some instances")
		}
		return
	}
	for n, name := range v.names {
		address, err := netip.ParseAddrPort(name)
		if host, only := netip.ParseAddr(name); only == nil {
			address, err = netip.AddrPortFrom(host, f.Port), nil
		}
		if err != nil || address.Port() == 0 {
			c.say(v.at, v.cols[n], fmt.Sprintf("seeds: %q is no address", name), `addresses such as "10.0.0.4" or "10.0.0.4:`+
				strconv.Itoa(int(f.Port))+`"`)
			continue
		}
		f.Seeds = append(f.Seeds, address.String())
	}
}
