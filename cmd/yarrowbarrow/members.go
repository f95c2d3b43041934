package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"text/tabwriter"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/decide/counters"
	"yarrowbarrow/decide/membership"
	"yarrowbarrow/internal/status"
	"yarrowbarrow/member/gossip"
)

// tallyCargo identifies the part of a gossip message that carries the tally; openJobsKey is the key of the open job count in it.
const tallyCargo, openJobsKey = 1, 1

// countInterval is how often the open job count is sampled. A second is fine enough, as a value takes several gossip periods to
// reach the whole fleet.
const countInterval = time.Second

// joinFleet makes this instance a member of the fleet in cfg and serves the fleet view on the status socket, if one is set.
// countOpenJobs is sampled every countInterval. leave ends the sampling, closes the status socket and announces the departure to
// the other members. Without a fleet in cfg, node is nil and leave does nothing.
func joinFleet(cfg config.Config, countOpenJobs func() int, log *slog.Logger) (node *gossip.Gossip, leave func(), err error) {
	if cfg.Fleet == nil {
		return nil, func() {}, nil
	}
	fleet := cfg.Fleet
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, nil, err
	}
	fleetTally := counters.New(membership.Name(cfg.Name), membership.Generation(time.Now().UnixNano()), fleet.MaxMembers)
	node, err = gossip.Start(gossip.Config{Piggyback: map[byte]membership.Piggyback{tallyCargo: fleetTally}, Name: cfg.Name, Listen: netip.AddrPortFrom(listen.Addr(), fleet.Port).String(), AdvertiseAddress: fleet.AdvertiseAddress, Seeds: fleet.SeedAddresses,
		KeyFile: fleet.KeyFile, Period: fleet.ProbePeriod, MaxMembers: fleet.MaxMembers, MaxBytesPerSecond: fleet.MaxBytesPerSecond}, log.With("fleet", fleet.Name))
	if err != nil {
		return nil, nil, err
	}
	ticker := time.NewTicker(countInterval)
	go func() {
		for range ticker.C {
			jobs := countOpenJobs()
			node.DoLocked(func(time.Duration) { fleetTally.Set(counters.Key{Kind: openJobsKey}, counters.Value(jobs)) })
		}
	}()
	var statusListener net.Listener
	if fleet.StatusSocket != "" {
		if statusListener, err = status.Serve(fleet.StatusSocket, func() any { return currentView(node, fleetTally) }); err != nil {
			node.Close()
			return nil, nil, err
		}
	}
	return node, func() {
		ticker.Stop()
		if statusListener != nil {
			statusListener.Close()
		}
		node.Leave()
	}, nil
}

// fleetView is what an instance knows about its fleet, as sent on the status socket. Durations are in ns, negative for never.
type fleetView struct {
	Name        string        `json:"name"`
	StartTime   int64         `json:"life"`    // of this process, in ns of Unix time
	Incarnation uint32        `json:"turn"`    // incremented each time this process refutes a suspicion of itself
	Contact     string        `json:"contact"` // how well this instance is connected to the others, such as connected or deaf
	ContactAge  time.Duration `json:"for_ns"`  // how long Contact has had this value
	Members     []memberView  `json:"members"`
	BrokenLinks [][2]string   `json:"links_that_do_not_carry"` // pairs of members of which the first receives nothing from the second directly
	OpenJobs    fleetSum      `json:"open_jobs"`
	Counts      gossip.Counts `json:"counts"`
}

// fleetSum is a count summed over the instances whose data is fresh, this one included. As the others are missing from it, it is a
// lower bound.
type fleetSum struct {
	AtLeast   int64         `json:"at_least"`
	Instances int           `json:"instances"` // that the sum covers
	Unknown   int           `json:"unknown"`   // other members that are alive or suspected, without fresh data
	MaxAge    time.Duration `json:"age_ns"`    // of the oldest data in the sum
}

// memberView is what an instance knows about one member.
type memberView struct {
	Name          string        `json:"name"`
	Address       string        `json:"address"`
	StartTime     int64         `json:"life"` // of its process, in ns of Unix time
	Status        string        `json:"status"`
	Age           time.Duration `json:"age_ns"`      // upper bound for the age of its newest message, direct or relayed
	SinceAck      time.Duration `json:"hears_us_ns"` // since it last proved that it receives messages of this instance
	SinceReceived time.Duration `json:"heard_ns"`    // since a message came directly from it
	AccusedBy     string        `json:"accused_by,omitempty"`
}

// currentView takes a snapshot of the membership and of the tally.
func currentView(node *gossip.Gossip, fleetTally *counters.Tally) fleetView {
	view := node.View()
	var present []membership.Name
	for _, m := range view.Members {
		if m.Status == membership.Alive || m.Status == membership.Suspect {
			present = append(present, m.Name)
		}
	}
	var sum counters.Sum
	node.DoLocked(func(now time.Duration) {
		sum = fleetTally.Sum(now, counters.Key{Kind: openJobsKey}, view.MaxFreshAge, present, 0)
	})
	result := fleetView{Name: string(view.Own.Name), StartTime: int64(view.Own.Generation), Incarnation: view.Own.Incarnation, Contact: view.Contact.String(), ContactAge: view.ContactFor,
		Members: []memberView{}, BrokenLinks: [][2]string{}, Counts: view.Counts,
		OpenJobs: fleetSum{int64(sum.Min), sum.Instances, sum.Unknown, sum.MaxAge}}
	for _, link := range view.BrokenLinks {
		result.BrokenLinks = append(result.BrokenLinks, [2]string{string(link.From), string(link.To)})
	}
	for _, m := range view.Members {
		result.Members = append(result.Members, memberView{string(m.Name), string(m.Address), int64(m.Generation), m.Status.String(), m.Age, m.SinceHeardUs,
			m.SinceReceived, string(m.AccusedBy)})
	}
	return result
}

// membersCommand prints the fleet view of a running instance.
type membersCommand struct {
	Socket string `name:"socket" required:"" type:"path" placeholder:"PATH" help:"The status socket of a running instance, as set in its operators' file."`
	JSON   bool   `name:"json" help:"Print as JSON."`
}

func (membersCommand) Help() string {
	return `Age is an upper bound for the age of the newest message of a member, whether it came directly or through other members; hears
is the time since the member last proved that it receives messages of this instance; heard is the time since a message came
directly from the member, whatever its delay on the network.`
}

func (c *membersCommand) Run(out *output) error {
	var view fleetView
	if err := status.Query(c.Socket, &view); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, view)
	}
	fmt.Fprintf(out, "%s has been %s for %v; %d members\n", view.Name, view.Contact, view.ContactAge.Round(time.Second), len(view.Members))
	fmt.Fprintf(out, "at least %d open jobs at %d instances, data up to %v old; %d instances unknown\n", view.OpenJobs.AtLeast, view.OpenJobs.Instances,
		view.OpenJobs.MaxAge.Round(10*time.Millisecond), view.OpenJobs.Unknown)
	formatAge := func(age time.Duration) string {
		if age < 0 {
			return "-"
		}
		return age.Round(10 * time.Millisecond).String()
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "member\tstatus\tage\thears\theard\taddress\taccused by")
	for _, m := range view.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Status, formatAge(m.Age), formatAge(m.SinceAck), formatAge(m.SinceReceived), m.Address, m.AccusedBy)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, link := range view.BrokenLinks {
		fmt.Fprintf(out, "%s receives no messages directly from %s\n", link[0], link[1])
	}
	return nil
}
