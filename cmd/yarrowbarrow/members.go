package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"text/tabwriter"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/internal/status"
	"yarrowbarrow/member/gossip"
)

// talk has an instance join its fleet, where one is set, and tell of it on its status socket. end says good-bye.
func talk(cfg config.Config, log *slog.Logger) (g *gossip.Gossip, end func(), err error) {
	if cfg.Fleet == nil {
		return nil, func() {}, nil
	}
	f := cfg.Fleet
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, nil, err
	}
	g, err = gossip.Start(gossip.Config{Name: cfg.Name, Listen: netip.AddrPortFrom(listen.Addr(), f.Port).String(), Told: f.Told, Seeds: f.Seeds,
		KeyFile: f.KeyFile, Period: f.Period, Most: f.Members, BytesPS: f.Traffic}, log.With("fleet", f.Name))
	if err != nil {
		return nil, nil, err
	}
	var socket net.Listener
	if f.Status != "" {
		if socket, err = status.Serve(f.Status, func() any { return seenNow(g) }); err != nil {
			g.Close()
			return nil, nil, err
		}
	}
	return g, func() {
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
	Counts  gossip.Counts `json:"counts"`
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

func seenNow(g *gossip.Gossip) seen {
	v := g.View()
	s := seen{Name: string(v.Own.Name), Life: int64(v.Own.Life), Turn: v.Own.Turn, Contact: v.Contact.String(), For: v.Since,
		Members: []seenMember{}, Missed: [][2]string{}, Counts: v.Counts}
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
	Socket string `required:"" type:"path" placeholder:"PATH" help:"The status socket of a running instance, as its operators' file names it."`
	JSON   bool   `help:"Print as JSON."`
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
