package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/config/lang"
	"yarrowbarrow/controller"
	"yarrowbarrow/lab/load"
	"yarrowbarrow/lab/standin/discovery"
	"yarrowbarrow/lab/standin/engine"
)

type demoCommand struct {
	Operators string `name:"operators" arg:"" optional:"" default:"deploy/operator.conf" help:"The operators' file to serve with."`
	Seconds   int    `name:"seconds" default:"60" help:"How long the load lasts, 6 to 600."`
	Seed      int64  `name:"seed" default:"1" help:"Of the load."`
}

func (demoCommand) Help() string {
	return `Starts two stand-in engines in each of two rooms and discovery in this process, serves with the file, and plays a mixed
load in which an engine of the east dies, half of the time later its room is lost, and both come back cold.

  yarrowbarrow demo
  yarrowbarrow demo --seconds 20 deploy/operator.conf`
}

// The demo's classes. The stand-ins hold 4 jobs each, so that both rooms together are loaded to about a half.
var demoKinds = []load.Kind{
	{Type: "lookup", PerSecond: 120, Work: 20 * time.Millisecond, Wait: 4 * time.Second, LatencyTarget: time.Second},
	{Type: "load", PerSecond: 6, Work: 1200 * time.Millisecond, Wait: 15 * time.Second, LatencyTarget: 5 * time.Second, Told: true, Keyed: true},
}

const demoSettings = `{"balancers":1,"rank":0,"zone":"east","tick":5000000,"discovery":"pushed",
"classes":[{"name":"lookup","aim":1000000000,"deadline":4000000000,"gain":1,"late_worth":0.3,"repeat":"retryable"},
{"name":"load","aim":5000000000,"deadline":15000000000,"gain":4,"late_worth":0.6,"repeat":"dedup","group":"all","key_ttl":12000000000}],
"machine_types":["std"],"family_info":{"kind_cores":[4],"ram_of_kind_mb":[8192],"width_by_class":[1,1],"grants_count":true},
"permissions":{"connect_timeout":250000000,"idle_close":15000000000,"max_attempts":3,"max_retry_after":1000000000,
"may_cancel":true,"probes":true,"retry_after":true,"streams_per_conn":32,"open_cap":20000},
"safety":{"cold":5000000000,"fall":1000000000,"start_capacity":0.33,"tip_multiple":3}}`

// demoRoom is what the demo plays with.
type demoRoom struct {
	out       *output
	discovery *discovery.Discovery
	names     []string
	engines   map[string]*engine.Engine
	began     time.Time
}

func (d *demoRoom) host(name, health string, born int64) discovery.Host {
	site, _, _ := strings.Cut(name, "-")
	return discovery.Host{Host: name, Dial: d.engines[name].Address(), Site: site, Class: "std", Health: health, Born: born}
}

func (d *demoRoom) event(format string, args ...any) { fmt.Fprintf(d.out, "** "+format+"\n", args...) }

func (d *demoRoom) die(names ...string) {
	for _, name := range names {
		d.engines[name].Die()
	}
}

// lists tells discovery of engines that are gone, or of ones that start anew.
func (d *demoRoom) lists(health string, names ...string) {
	var hosts []discovery.Host
	for _, name := range names {
		born := int64(0)
		if health == "active" {
			if err := d.engines[name].Return(); err != nil {
				d.event("%v", err)
				continue
			}
			born = time.Now().UnixMilli()
		}
		hosts = append(hosts, d.host(name, health, born))
	}
	d.discovery.Tell(false, hosts...)
}

func (c *demoCommand) Run(log *slog.Logger, out *output) error {
	length := time.Duration(min(max(c.Seconds, 6), 600)) * time.Second
	d := &demoRoom{out: out, names: []string{"east-1", "east-2", "west-1", "west-2"}, engines: map[string]*engine.Engine{},
		began: time.Now()}
	var err error
	if d.discovery, err = discovery.Start("127.0.0.1:0"); err != nil {
		return err
	}
	defer d.discovery.Close()
	var hosts []discovery.Host
	for _, name := range d.names {
		if d.engines[name], err = engine.Start("127.0.0.1:0", engine.Options{Cores: 4, Cold: 5 * time.Second}); err != nil {
			return err
		}
		hosts = append(hosts, d.host(name, "active", 0))
	}
	d.discovery.Tell(true, hosts...)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := free.Addr().String()
	_ = free.Close()
	raw, _ := json.Marshal(map[string]any{"name": "demo", "listen": address, "feed": d.discovery.Address(), "seed": "1",
		"known": d.discovery.Since(0), "settings": json.RawMessage(demoSettings)})
	cfg, err := config.Read(raw, "", "")
	if err != nil {
		return err
	}
	platform := cfg.Platform()
	checked := lang.Load(c.Operators, &platform)
	if checked.Plan == nil {
		_ = checked.Messages.Print(out)
		return errFindings
	}
	cfg.Plan = checked.Plan
	ctl := controller.New(cfg, slog.New(&demoLog{Handler: log.Handler(), out: d}))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- ctl.Run(ctx) }()
	if err := waitFor(address, 5*time.Second); err != nil {
		stop()
		return err
	}
	mix := &load.Mix{Kinds: demoKinds, Statement: func(_ load.Kind, work time.Duration) string {
		return engine.Work("select * from survey_17.form", work)
	}}
	fmt.Fprintf(out, "serving with %s for %v: %d routes, %d engines\n", c.Operators, length, len(cfg.Plan.Routes), len(d.names))
	over := make(chan struct{})
	go d.play(length, over)
	go d.show(mix, ctl, over)
	err = mix.Run(address, 8, c.Seed, length)
	close(over)
	d.summary(mix, ctl)
	stop()
	if end := <-ended; err == nil {
		err = end
	}
	return err
}

func waitFor(address string, most time.Duration) error {
	for until := time.Now().Add(most); ; {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(until) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// play is the demo's story, by sixths of its time.
func (d *demoRoom) play(length time.Duration, over chan struct{}) {
	step := length / 12
	for _, act := range []struct {
		at int
		do func()
	}{
		{2, func() { d.event("east-2 dies; the list does not know"); d.die("east-2") }},
		{3, func() { d.event("the list says that east-2 has gone"); d.lists("left", "east-2") }},
		{5, func() { d.event("east-2 is back, cold"); d.lists("active", "east-2") }},
		{7, func() { d.event("the east is lost"); d.die("east-1", "east-2"); d.lists("left", "east-1", "east-2") }},
		{9, func() { d.event("the east is back, cold"); d.lists("active", "east-1", "east-2") }},
	} {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(act.at)*step - d.since()):
			act.do()
		}
	}
}

func (d *demoRoom) since() time.Duration { return time.Since(d.began) }

// show prints a line each second: what was answered in it, what routes took, and what engines run.
func (d *demoRoom) show(mix *load.Mix, ctl *controller.Controller, over chan struct{}) {
	w := func(cells ...string) { fmt.Fprintln(d.out, strings.Join(cells, "  ")) }
	w(fmt.Sprintf("%4s", "s"), fmt.Sprintf("%-30s", "done/rejected/cancelled, p50"), fmt.Sprintf("%-34s", "routes: taken (by fallback)"), "engines: running+waiting")
	last, lastRoutes := map[string]load.Count{}, map[string]controller.RouteReport{}
	for tick := time.NewTicker(time.Second); ; {
		select {
		case <-over:
			tick.Stop()
			return
		case <-tick.C:
		}
		var answers, routes, engines []string
		counts := mix.Counts()
		for _, k := range demoKinds {
			was, now := last[k.Type], counts[k.Type]
			answers = append(answers, fmt.Sprintf("%s %d/%d/%d %v", k.Type, now.Done-was.Done, now.Rejected-was.Rejected,
				now.Cancelled-was.Cancelled, load.Quantile(now.Took[len(was.Took):], 0.5).Round(time.Millisecond)))
		}
		last = counts
		for _, r := range ctl.Routes() {
			was := lastRoutes[r.Name]
			routes = append(routes, fmt.Sprintf("%s %d (%d)", r.Name, r.Taken-was.Taken, r.Fallback-was.Fallback))
			lastRoutes[r.Name] = r
		}
		for _, name := range d.names {
			active, waiting := d.engines[name].Load()
			engines = append(engines, fmt.Sprintf("%s %d+%d", name, active, waiting))
		}
		w(fmt.Sprintf("%4.0f", d.since().Seconds()), fmt.Sprintf("%-30s", strings.Join(answers, ", ")),
			fmt.Sprintf("%-34s", strings.Join(routes, ", ")), strings.Join(engines, ", "))
	}
}

func (d *demoRoom) summary(mix *load.Mix, ctl *controller.Controller) {
	w := tabwriter.NewWriter(d.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "\ntype\tjobs\tdone\tin time\tthrottled\tfailed\tlost\tp50\tp99")
	counts := mix.Counts()
	for _, k := range demoKinds {
		n := counts[k.Type]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n", k.Type, n.Sent, n.Done, n.InTime, n.Rejected, n.Cancelled, n.Lost,
			load.Quantile(n.Took, 0.5).Round(time.Millisecond), load.Quantile(n.Took, 0.99).Round(time.Millisecond))
	}
	fmt.Fprintln(w, "\nroute\ttaken\tby a fallback\toverflowed\tmoved\trefused")
	for _, r := range ctl.Routes() {
		refused := int64(0)
		for _, n := range r.Refused {
			refused += n
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", r.Name, r.Taken, r.Fallback, r.Overflowed, r.Moved, refused)
	}
	fmt.Fprintln(w, "\nengine\ttaken\tran\tcancelled")
	doubled := 0
	for _, name := range d.names {
		a := d.engines[name].Audit()
		doubled += a.Doubled
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", name, a.Taken, a.Ran, a.Cancelled)
	}
	_ = w.Flush()
	fmt.Fprintf(d.out, "\n%d jobs answered twice, %d run twice on one engine\n", mix.Doubled(), doubled)
}

// demoLog shows what the routes and the module say, among the lines of the demo.
type demoLog struct {
	slog.Handler
	out *demoRoom
}

func (l *demoLog) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == "routes" || r.Message == "module" {
		r.Attrs(func(a slog.Attr) bool {
			l.out.event("%s: %s", r.Message, a.Value)
			return true
		})
		return nil
	}
	if r.Level < slog.LevelWarn {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

func (l *demoLog) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &demoLog{l.Handler.WithAttrs(attrs), l.out}
}
