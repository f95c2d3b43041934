package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"text/tabwriter"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/decide/member"
	"yarrowbarrow/decide/tally"
	"yarrowbarrow/internal/status"
	"yarrowbarrow/member/gossip"
)

// tallied is the part of a message that carries counts; openJobs is one of them.
const tallied, openJobs = 1, 1

// countEvery is fine enough for figures that take some periods to go round.
const countEvery = time.Second

// talk has an instance join its fleet, where one is set, and tell of it on its status socket. open counts jobs. end says
// good-bye.
func talk(cfg config.Config, open func() int, log *slog.Logger) (g *gossip.Gossip, end func(), err error) {
	if cfg.Fleet == nil {
		return nil, func() {}, nil
	}
	f := cfg.Fleet
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, nil, err
	}
	counts := tally.New(member.Name(cfg.Name), member.Life(time.Now().UnixNano()), f.Members)
	g, err = gossip.Start(gossip.Config{Cargo: map[byte]member.Cargo{tallied: counts}, Name: cfg.Name, Listen: netip.AddrPortFrom(listen.Addr(), f.Port).String(), Told: f.Told, Seeds: f.Seeds,
		KeyFile: f.KeyFile, Period: f.Period, Most: f.Members, BytesPS: f.Traffic}, log.With("fleet", f.Name))
	if err != nil {
		return nil, nil, err
	}
	counting := time.NewTicker(countEvery)
	go func() {
		for range counting.C {
			n := open()
			g.With(func(time.Duration) { counts.Set(tally.Key{What: openJobs}, tally.Value(n)) })
		}
	}()
	var socket net.Listener
	if f.Status != "" {
		if socket, err = status.Serve(f.Status, func() any { return seenNow(g, counts) }); err != nil {
			g.Close()
			return nil, nil, err
		}
	}
	return g, func() {
		counting.Stop()
		if socket != nil {
			socket.Close()
		}
		g.Leave()
	}, nil
}

// seen is what an instance knows of its fleet. Times are in ns, -1 for never.
type seen struct {
	Name    string        `json:"name"`
	Life    int64         `json:"life"`
	Turn    uint32        `json:"turn"`
	Contact string        `json:"contact"`
	For     time.Duration `json:"for_ns"`
	Members []seenMember  `json:"members"`
	Missed  [][2]string   `json:"links_that_do_not_carry"` // who does not hear whom directly
	Open    seenSum       `json:"open_jobs"`
	Counts  gossip.Counts `json:"counts"`
}

// seenSum is a count over the fleet: at least so many, by the words of some instances that are up to so old.
type seenSum struct {
	Least   int64         `json:"at_least"`
	Fresh   int           `json:"instances"`
	Unknown int           `json:"unknown"`
	Oldest  time.Duration `json:"age_ns"`
}

type seenMember struct {
	Name    string        `json:"name"`
	Address string        `json:"address"`
	Life    int64         `json:"life"`
	Status  string        `json:"status"`
	Age     time.Duration `json:"age_ns"`
	Hears   time.Duration `json:"hears_us_ns"`
	Direct  time.Duration `json:"heard_ns"`
	By      string        `json:"accused_by,omitempty"`
}

func seenNow(g *gossip.Gossip, counts *tally.Tally) seen {
	v := g.View()
	var there []member.Name
	for _, m := range v.Members {
		if m.Status == member.Alive || m.Status == member.Suspect {
			there = append(there, m.Name)
		}
	}
	var sum tally.Sum
	g.With(func(now time.Duration) { sum = counts.Sum(now, tally.Key{What: openJobs}, v.Fresh, there, 0) })
	s := seen{Name: string(v.Own.Name), Life: int64(v.Own.Life), Turn: v.Own.Turn, Contact: v.Contact.String(), For: v.Since,
		Members: []seenMember{}, Missed: [][2]string{}, Counts: v.Counts,
		Open: seenSum{int64(sum.Least), sum.Fresh, sum.Unknown, sum.Oldest}}
	for _, link := range v.Missed {
		s.Missed = append(s.Missed, [2]string{string(link.By), string(link.Whom)})
	}
	for _, m := range v.Members {
		s.Members = append(s.Members, seenMember{string(m.Name), string(m.Address), int64(m.Life), m.Status.String(), m.Age, m.Hears,
			m.Direct, string(m.By)})
	}
	return s
}

type membersCommand struct {
	Socket string `name:"socket" required:"" type:"path" placeholder:"PATH" help:"The status socket of a running instance, as its operators' file names it."`
	JSON   bool   `name:"json" help:"Print as JSON."`
}

func (membersCommand) Help() string {
	return `Age is how old the newest word of a member is at most, by whichever way it came; hears is how long ago it last proved to
hear this instance; heard is when a message of its own last came here, however long that was on its way.`
}

func (c *membersCommand) Run(out *output) error {
	var s seen
	if err := status.Ask(c.Socket, &s); err != nil {
		return err
	}
	if c.JSON {
		return asJSON(out, s)
	}
	fmt.Fprintf(out, "%s is %s for %v; %d members\n", s.Name, s.Contact, s.For.Round(time.Second), len(s.Members))
	fmt.Fprintf(out, "%d jobs open or more, by %d instances, words up to %v old; %d not known\n", s.Open.Least, s.Open.Fresh,
		s.Open.Oldest.Round(10*time.Millisecond), s.Open.Unknown)
	ago := func(d time.Duration) string {
		if d < 0 {
			return "-"
		}
		return d.Round(10 * time.Millisecond).String()
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "member\tstatus\tage\thears\theard\taddress\taccused by")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Status, ago(m.Age), ago(m.Hears), ago(m.Direct), m.Address, m.By)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, link := range s.Missed {
		fmt.Fprintf(out, "%s does not hear %s directly\n", link[0], link[1])
	}
	return nil
}
