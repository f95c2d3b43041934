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

// demoCommand runs a controller under load between stand-in engines, in one process.
type demoCommand struct {
	OperatorsFile string `name:"operators" arg:"" optional:"" default:"deploy/operator.conf" help:"The operators' file to serve with."`
	Seconds       int    `name:"seconds" default:"60" help:"Duration of the load in seconds, 6 to 600."`
	Seed          int64  `name:"seed" default:"1" help:"Seed of the random load."`
}

func (demoCommand) Help() string {
	return `Starts two stand-in engines in each of two rooms and a stand-in discovery service in this process, serves with the operators' file
and sends a mixed load. Early in the run one engine of room east crashes, later both do. Each time they restart cold,
that is, they begin at a reduced speed.

  yarrowbarrow demo
  yarrowbarrow demo --seconds 20 deploy/operator.conf`
}

// demoJobKinds is the load of the demo. Each stand-in engine runs 4 jobs at full speed, so that the two rooms together are at about half
// of their capacity.
var demoJobKinds = []load.Kind{
	{Type: "lookup", PerSecond: 120, Work: 20 * time.Millisecond, Wait: 4 * time.Second, LatencyTarget: time.Second},
	{Type: "load", PerSecond: 6, Work: 1200 * time.Millisecond, Wait: 15 * time.Second, LatencyTarget: 5 * time.Second, SendCost: true, Keyed: true},
}

// demoSettings are the settings that the demo's controller gets from the platform.
const demoSettings = `{"balancers":1,"rank":0,"zone":"east","tick":5000000,"discovery":"pushed",
"classes":[{"name":"lookup","aim":1000000000,"deadline":4000000000,"gain":1,"late_worth":0.3,"repeat":"retryable"},
{"name":"load","aim":5000000000,"deadline":15000000000,"gain":4,"late_worth":0.6,"repeat":"dedup","group":"all","key_ttl":12000000000}],
"machine_types":["std"],"family_info":{"kind_cores":[4],"ram_of_kind_mb":[8192],"width_by_class":[1,1],"grants_count":true},
"permissions":{"connect_timeout":250000000,"idle_close":15000000000,"max_attempts":3,"max_retry_after":1000000000,
"may_cancel":true,"probes":true,"retry_after":true,"streams_per_conn":32,"open_cap":20000},
"safety":{"cold":5000000000,"fall":1000000000,"start_capacity":0.33,"tip_multiple":3}}`

// demoRun is the state of one demo: the stand-in services, and the output.
type demoRun struct {
	out         *output
	discovery   *discovery.Discovery
	engineNames []string
	engines     map[string]*engine.Engine
	startedAt   time.Time
}

func (d *demoRun) host(name, health string, bornMillis int64) discovery.Host {
	site, _, _ := strings.Cut(name, "-")
	return discovery.Host{Host: name, Dial: d.engines[name].Address(), Site: site, Class: "std", Health: health, Born: bornMillis}
}

// printEvent prints a line about a fault, a recovery or a decision, marked by asterisks.
func (d *demoRun) printEvent(format string, args ...any) {
	fmt.Fprintf(d.out, "** "+format+"\n", args...)
}

func (d *demoRun) crash(names ...string) {
	for _, name := range names {
		d.engines[name].Crash()
	}
}

// updateDiscovery publishes a new health of engines to discovery. With health "active" it restarts them first; one that fails to
// restart is left out.
func (d *demoRun) updateDiscovery(health string, names ...string) {
	var hosts []discovery.Host
	for _, name := range names {
		bornMillis := int64(0)
		if health == "active" {
			if err := d.engines[name].Restart(); err != nil {
				d.printEvent("%v", err)
				continue
			}
			bornMillis = time.Now().UnixMilli()
		}
		hosts = append(hosts, d.host(name, health, bornMillis))
	}
	d.discovery.Publish(false, hosts...)
}

func (c *demoCommand) Run(log *slog.Logger, out *output) error {
	length := time.Duration(min(max(c.Seconds, 6), 600)) * time.Second
	demo := &demoRun{out: out, engineNames: []string{"east-1", "east-2", "west-1", "west-2"}, engines: map[string]*engine.Engine{},
		startedAt: time.Now()}
	var err error
	if demo.discovery, err = discovery.Start("127.0.0.1:0"); err != nil {
		return err
	}
	defer demo.discovery.Close()
	var hosts []discovery.Host
	for _, name := range demo.engineNames {
		if demo.engines[name], err = engine.Start("127.0.0.1:0", engine.Options{Cores: 4, WarmUp: 5 * time.Second}); err != nil {
			return err
		}
		hosts = append(hosts, demo.host(name, "active", 0))
	}
	demo.discovery.Publish(true, hosts...)
	placeholder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := placeholder.Addr().String()
	_ = placeholder.Close()
	rawConfig, _ := json.Marshal(map[string]any{"name": "demo", "listen": address, "feed": demo.discovery.Address(), "seed": "1",
		"known": demo.discovery.EventsAfter(0), "settings": json.RawMessage(demoSettings)})
	cfg, err := config.Read(rawConfig, "", "")
	if err != nil {
		return err
	}
	platform := cfg.Platform()
	operators := lang.Load(c.OperatorsFile, &platform)
	if operators.Plan == nil {
		_ = operators.Messages.Print(out)
		return errFindings
	}
	cfg.Plan = operators.Plan
	ctl := controller.New(cfg, slog.New(&demoLog{Handler: log.Handler(), demo: demo}))
	ctx, stop := context.WithCancel(context.Background())
	runDone := make(chan error, 1)
	go func() { runDone <- ctl.Run(ctx) }()
	if err := waitForListener(address, 5*time.Second); err != nil {
		stop()
		return err
	}
	mix := &load.Mix{Kinds: demoJobKinds, Statement: func(_ load.Kind, work time.Duration) string {
		return engine.WithWork("select * from survey_17.form", work)
	}}
	fmt.Fprintf(out, "serving with %s for %v: %d routes, %d engines\n", c.OperatorsFile, length, len(cfg.Plan.Routes), len(demo.engineNames))
	finished := make(chan struct{})
	go demo.injectFaults(length, finished)
	go demo.printProgress(mix, ctl, finished)
	err = mix.Run(address, 8, c.Seed, length)
	close(finished)
	demo.printSummary(mix, ctl)
	stop()
	if runErr := <-runDone; err == nil {
		err = runErr
	}
	return err
}

// waitForListener returns once a TCP connection to address succeeds, or with the last dial error after timeout.
func waitForListener(address string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// injectFaults crashes and restarts engines on a fixed schedule, in twelfths of the demo's length, until finished is closed.
func (d *demoRun) injectFaults(length time.Duration, finished chan struct{}) {
	twelfth := length / 12
	for _, step := range []struct {
		twelfths int
		run      func()
	}{
		{2, func() { d.printEvent("east-2 crashes; discovery still lists it"); d.crash("east-2") }},
		{3, func() { d.printEvent("discovery lists east-2 as gone"); d.updateDiscovery("left", "east-2") }},
		{5, func() { d.printEvent("east-2 restarts cold"); d.updateDiscovery("active", "east-2") }},
		{7, func() {
			d.printEvent("room east crashes")
			d.crash("east-1", "east-2")
			d.updateDiscovery("left", "east-1", "east-2")
		}},
		{9, func() { d.printEvent("room east restarts cold"); d.updateDiscovery("active", "east-1", "east-2") }},
	} {
		select {
		case <-finished:
			return
		case <-time.After(time.Duration(step.twelfths)*twelfth - d.elapsed()):
			step.run()
		}
	}
}

func (d *demoRun) elapsed() time.Duration { return time.Since(d.startedAt) }

// printProgress prints a line each second until finished is closed: jobs answered and jobs per route during that second, and the
// current load of the engines.
func (d *demoRun) printProgress(mix *load.Mix, ctl *controller.Controller, finished chan struct{}) {
	printRow := func(cells ...string) { fmt.Fprintln(d.out, strings.Join(cells, "  ")) }
	printRow(fmt.Sprintf("%4s", "s"), fmt.Sprintf("%-30s", "done/rejected/cancelled, p50"), fmt.Sprintf("%-34s", "routes: taken (by fallback)"), "engines: running+waiting")
	previous, previousRoutes := map[string]load.Count{}, map[string]controller.RouteReport{}
	for ticker := time.NewTicker(time.Second); ; {
		select {
		case <-finished:
			ticker.Stop()
			return
		case <-ticker.C:
		}
		var answers, routes, engines []string
		counts := mix.Counts()
		for _, kind := range demoJobKinds {
			before, now := previous[kind.Type], counts[kind.Type]
			answers = append(answers, fmt.Sprintf("%s %d/%d/%d %v", kind.Type, now.Done-before.Done, now.Rejected-before.Rejected,
				now.Cancelled-before.Cancelled, load.Quantile(now.Took[len(before.Took):], 0.5).Round(time.Millisecond)))
		}
		previous = counts
		for _, report := range ctl.Routes() {
			before := previousRoutes[report.Name]
			routes = append(routes, fmt.Sprintf("%s %d (%d)", report.Name, report.Taken-before.Taken, report.Fallback-before.Fallback))
			previousRoutes[report.Name] = report
		}
		for _, name := range d.engineNames {
			active, waiting := d.engines[name].Load()
			engines = append(engines, fmt.Sprintf("%s %d+%d", name, active, waiting))
		}
		printRow(fmt.Sprintf("%4.0f", d.elapsed().Seconds()), fmt.Sprintf("%-30s", strings.Join(answers, ", ")),
			fmt.Sprintf("%-34s", strings.Join(routes, ", ")), strings.Join(engines, ", "))
	}
}

// printSummary prints totals by job type, route and engine, and how many jobs were answered twice or ran twice on one engine.
func (d *demoRun) printSummary(mix *load.Mix, ctl *controller.Controller) {
	w := tabwriter.NewWriter(d.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "\ntype\tjobs\tdone\tin time\tthrottled\tfailed\tlost\tp50\tp99")
	counts := mix.Counts()
	for _, kind := range demoJobKinds {
		count := counts[kind.Type]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n", kind.Type, count.Sent, count.Done, count.InTime, count.Rejected, count.Cancelled, count.Lost,
			load.Quantile(count.Took, 0.5).Round(time.Millisecond), load.Quantile(count.Took, 0.99).Round(time.Millisecond))
	}
	fmt.Fprintln(w, "\nroute\ttaken\tby a fallback\toverflowed\tmoved\trefused")
	for _, report := range ctl.Routes() {
		refused := int64(0)
		for _, count := range report.Refused {
			refused += count
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", report.Name, report.Taken, report.Fallback, report.Overflowed, report.Moved, refused)
	}
	fmt.Fprintln(w, "\nengine\ttaken\tran\tcancelled")
	doubled := 0
	for _, name := range d.engineNames {
		audit := d.engines[name].Audit()
		doubled += audit.RanTwice
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", name, audit.Received, audit.Completed, audit.Cancelled)
	}
	_ = w.Flush()
	fmt.Fprintf(d.out, "\n%d jobs answered twice, %d run twice on one engine\n", mix.AnsweredTwice(), doubled)
}

// demoLog prints the log messages of the routes and of the decision module as events of the demo, and drops other messages below
// level warn.
type demoLog struct {
	slog.Handler
	demo *demoRun
}

func (l *demoLog) Handle(ctx context.Context, record slog.Record) error {
	if record.Message == "routes" || record.Message == "module" {
		record.Attrs(func(attr slog.Attr) bool {
			l.demo.printEvent("%s: %s", record.Message, attr.Value)
			return true
		})
		return nil
	}
	if record.Level < slog.LevelWarn {
		return nil
	}
	return l.Handler.Handle(ctx, record)
}

func (l *demoLog) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &demoLog{l.Handler.WithAttrs(attrs), l.demo}
}
