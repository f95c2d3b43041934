package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"yarrowbarrow/controller"
	"yarrowbarrow/lab/baseline"
	"yarrowbarrow/lab/fleet"
	"yarrowbarrow/lab/fleet/report"
)

type fleetCommands struct {
	Play    fleetCommand   `name:"play" cmd:"" default:"withargs" help:"Play a fleet (also without a word)."`
	Compare compareCommand `name:"compare" cmd:"" help:"Play two policies or builds in pairs on the same seeds, and tell the difference with its interval."`
	Days    daysCommand    `name:"days" cmd:"" help:"Play days on which operators have seen things go wrong, and show one line for each."`
	Soak    soakCommand    `name:"soak" cmd:"" help:"Play runs with faults that overlap, drawn from seeds, and show which broke a rule."`
	Talk    talkCommand    `name:"talk" cmd:"" help:"Play instances that know one another: how soon a loss is known, how old words are, what it costs."`
	Faults  faultsCommand  `name:"faults" cmd:"" help:"List what may go wrong."`
}

// fleetFlags are what a fleet is and what happens to it.
type fleetFlags struct {
	Controllers int           `name:"controllers" default:"100" help:"Processes of this program, 1 to 400."`
	Engines     int           `name:"engines" default:"20" help:"Stand-in engines, 1 to 500."`
	Cores       int           `name:"cores" default:"4" help:"Of each engine; its jobs share them."`
	Uneven      bool          `name:"uneven" help:"Every third engine has twice the cores."`
	PerSecond   float64       `name:"per-second" default:"8" help:"Jobs a second that a controller gets in the mean, of 76 ms core time each; some get several times as many."`
	Rooms       int           `name:"rooms" default:"1" help:"That controllers and engines are in, by turns; faults on links cut them off."`
	Ruled       bool          `name:"ruled" help:"Play jobs of all kinds that rules are about, non-idempotent, keyed, bound to a room."`
	Length      time.Duration `name:"length" default:"15s" help:"How long the load lasts."`
	Seed        int64         `name:"seed" default:"1" help:"Of the load and of whom faults strike."`
	Faults      []string      `name:"fault" sep:";" placeholder:"FAULT" help:"What goes wrong, also several times, as in stop:0.3@5s/3s. The command fleet faults lists them."`
	Script      string        `name:"script" type:"existingfile" placeholder:"FILE" help:"A file with a fault a line; # begins a comment."`
	Chaos       int           `name:"chaos" placeholder:"N" help:"So many faults drawn from the seed, beside the others."`
}

func (c *fleetFlags) options() (o fleet.Options, err error) {
	o = fleet.Options{Controllers: min(max(c.Controllers, 1), 400), Engines: min(max(c.Engines, 1), 500), Cores: c.Cores, Uneven: c.Uneven,
		Rooms: c.Rooms, Ruled: c.Ruled, PerSecond: c.PerSecond, Length: c.Length, Seed: c.Seed}
	for _, text := range c.Faults {
		f, err := fleet.ParseFault(text)
		if err != nil {
			return o, err
		}
		o.Faults = append(o.Faults, f)
	}
	if c.Script != "" {
		file, err := os.Open(c.Script)
		if err != nil {
			return o, err
		}
		defer file.Close()
		more, err := fleet.ReadScript(file)
		if err != nil {
			return o, fmt.Errorf("%s: %w", c.Script, err)
		}
		o.Faults = append(o.Faults, more...)
	}
	o.Faults = append(o.Faults, fleet.DrawFaults(c.Seed, c.Chaos, c.Length)...)
	return o, nil
}

// way is what decides in a run: a policy by its name, of this program or of another build of it, as in own@path.
type way struct{ name, policy, program string }

func wayOf(text string) (way, error) {
	policy, program, other := strings.Cut(text, "@")
	if !other {
		own, err := os.Executable()
		if err != nil {
			return way{}, err
		}
		program = own
	} else if _, err := os.Stat(program); err != nil {
		return way{}, fmt.Errorf("%s: %w", text, err)
	}
	if policy == "own" {
		return way{text, "", program}, nil
	}
	_, err := baseline.New(policy)
	return way{text, policy, program}, err
}

func (w way) play(ctx context.Context, o fleet.Options, log io.Writer) (fleet.Result, error) {
	o.Program, o.Policy = w.program, w.policy
	o.Say = func(format string, args ...any) {
		fmt.Fprintf(log, "%s, seed %d: "+format+"\n", append([]any{w.name, o.Seed}, args...)...)
	}
	r, err := fleet.Run(ctx, o)
	r.Policy = w.name
	return r, err
}

// broke tells whether a run went against the rules. The baselines are not made to keep all of them.
func broke(r fleet.Result) bool {
	if strings.HasPrefix(r.Policy, "own") {
		return r.Audit.Broken()
	}
	return r.Audit.Crashes > 0
}

type fleetCommand struct {
	fleetFlags
	Policies []string `name:"policies" default:"own,random" help:"What decides, one run each: own, random, round-robin, least-outstanding, two-choices; own@PATH for another build."`
	JSON     bool     `name:"json" help:"Print the figures as JSON."`
	HTML     string   `name:"html" type:"path" placeholder:"FILE" help:"Also write a page with plots."`
}

func (fleetCommand) Help() string {
	return `Starts so many controllers as processes of their own between stand-in engines and discovery on loopback addresses, plays
uneven load, and tells how evenly the engines were used, by what engines and clients saw. A fault is given as
stop:0.3@5s/3s: what, the share of all it strikes, when, and for how long.
  yarrowbarrow fleet
  yarrowbarrow fleet --controllers 30 --engines 8 --fault 'kill:0.7@5s' --policies own,two-choices
  yarrowbarrow fleet --rooms 2 --fault 'cut:0.5@5s/6s' --html cut.html`
}

func (c *fleetCommand) Run(out *output) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	o.Draw = c.HTML != ""
	var ways []way
	for _, text := range c.Policies {
		w, err := wayOf(text)
		if err != nil {
			return err
		}
		ways = append(ways, w)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var results []fleet.Result
	for _, w := range ways {
		r, err := w.play(ctx, o, out.log)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	if c.HTML != "" {
		if err := c.write(o, results); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := asJSON(out, results); err != nil {
			return err
		}
	} else {
		showFleet(out, results)
	}
	for _, r := range results {
		if broke(r) {
			return errFindings
		}
	}
	return nil
}

func asJSON(out *output, value any) error {
	text := json.NewEncoder(out)
	text.SetIndent("", "  ")
	return text.Encode(value)
}

// write makes the page.
func (c *fleetCommand) write(o fleet.Options, results []fleet.Result) error {
	p := report.Page{Title: fmt.Sprintf("%d controllers, %d engines, %v", o.Controllers, o.Engines, o.Length), Faults: o.Faults,
		Results: results, Command: "yarrowbarrow " + strings.Join(os.Args[1:], " ")}
	for _, row := range fleetRows(results) {
		values := report.Row{Name: row.name}
		for _, r := range results {
			values.Values = append(values.Values, row.of(r))
		}
		p.Rows = append(p.Rows, values)
	}
	file, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := report.Write(file, p); err != nil {
		return err
	}
	return file.Close()
}

// fleetRow is a line of the table.
type fleetRow struct {
	name string
	of   func(fleet.Result) string
}

// fleetFigures are the numbers of a run.
func fleetFigures(results []fleet.Result) (all []fleet.Figure) {
	add := func(name, form string, of func(fleet.Result) float64) {
		all = append(all, fleet.Figure{Name: name, Form: form, Of: of})
	}
	if len(results) > 0 {
		for n, window := range results[0].Figures.Windows {
			add(fmt.Sprintf("busiest engine over the mean, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[n].Busiest })
			add(fmt.Sprintf("idlest, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[n].Idlest })
			add(fmt.Sprintf("variation, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[n].Variance })
		}
	}
	add("herd: variance over mean, 50ms", "%.2f", func(r fleet.Result) float64 { return r.Figures.Herd })
	add("of the worst engine", "%.2f", func(r fleet.Result) float64 { return r.Figures.HerdMost })
	add("surge, 50ms", "%.1f", func(r fleet.Result) float64 { return r.Figures.Surge })
	add("idle while a job was held, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Idle })
	add("core time used, %", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.Busy })
	add("rejected, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Rejected })
	add("rejected beside a free core, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Stranded })
	add("in time, %, mean of controllers", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.InTime })
	add("at the worst controller", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.Worst })
	add("attempts a job", "%.2f", func(r fleet.Result) float64 { return r.Figures.Attempt })
	add("dials", "%.0f", func(r fleet.Result) float64 { return float64(r.Figures.Dials.Total) })
	add("most a second over the mean", "%.1f", func(r fleet.Result) float64 { return r.Figures.Dials.Most })
	add("discovery calls", "%.0f", func(r fleet.Result) float64 { return float64(r.Figures.DiscoveryCalls.Total) })
	add("most a second over the mean", "%.1f", func(r fleet.Result) float64 { return r.Figures.DiscoveryCalls.Most })
	add("processor, % of a core", "%.1f", func(r fleet.Result) float64 { return 100 * r.CPU })
	add("memory, MB", "%.1f", func(r fleet.Result) float64 { return r.Memory })
	add("jobs", "%.0f", func(r fleet.Result) float64 { return float64(r.Figures.Jobs) })
	return all
}

func fleetRows(results []fleet.Result) (rows []fleetRow) {
	for _, f := range fleetFigures(results) {
		rows = append(rows, fleetRow{f.Name, func(r fleet.Result) string { return fmt.Sprintf(f.Form, f.Of(r)) }})
	}
	pair := func(name string, of func(fleet.Audit) (int, int)) {
		rows = append(rows, fleetRow{name, func(r fleet.Result) string {
			a, b := of(r.Audit)
			return fmt.Sprintf("%d, %d", a, b)
		}})
	}
	pair("rule 1: lost, answered twice", func(a fleet.Audit) (int, int) { return a.Lost, a.Doubled })
	pair("rule 2 repeated, 3 after a drain", func(a fleet.Audit) (int, int) { return a.Repeated, a.Drained })
	rows = append(rows, fleetRow{"rule 4 felled, most of what fells", func(r fleet.Result) string {
		return fmt.Sprintf("%d, %.2f", r.Audit.Felled, r.Audit.Cold)
	}})
	pair("rule 6 misplaced, 7 over budget", func(a fleet.Audit) (int, int) { return a.Strayed, a.Excess })
	pair("at two engines at once, crashed", func(a fleet.Audit) (int, int) { return a.Together, a.Crashes })
	return rows
}

// showFleet prints a row for each figure and a column for each run.
func showFleet(out *output, results []fleet.Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	rows := append([]fleetRow{{"", func(r fleet.Result) string { return r.Policy }}}, fleetRows(results)...)
	for _, row := range rows {
		fmt.Fprint(w, row.name, "\t")
		for _, r := range results {
			fmt.Fprint(w, row.of(r), "\t")
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

type compareCommand struct {
	A     string `name:"a" arg:"" help:"A policy as for play, such as own or two-choices, or own@PATH for another build."`
	B     string `name:"b" arg:"" help:"What is compared with it."`
	Pairs int    `name:"pairs" default:"5" help:"Played on so many seeds, each with both, in turns of who is first."`
	JSON  bool   `name:"json" help:"Print as JSON."`
	fleetFlags
}

func (compareCommand) Help() string {
	return `The interval is that in which the difference lies in 19 of 20 such comparisons; a figure is marked where it is all on one
side of nought. With some twenty figures one is marked by chance.
  yarrowbarrow fleet compare own@before/yarrowbarrow own --fault 'kill:0.7@5s'`
}

func (c *compareCommand) Run(out *output) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	var ways [2]way
	for n, text := range []string{c.A, c.B} {
		if ways[n], err = wayOf(text); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var results [2][]fleet.Result
	broken := false
	for pair := range max(c.Pairs, 1) {
		for turn := range ways {
			n := (turn + pair) % len(ways)
			o.Seed = c.Seed + int64(pair)
			r, err := ways[n].play(ctx, o, out.log)
			if err != nil {
				return err
			}
			results[n] = append(results[n], r)
			if broke(r) {
				broken = true
				fmt.Fprintf(out.log, "%s, seed %d: %+v\n", ways[n].name, o.Seed, r.Audit)
			}
		}
	}
	all := fleet.Compare(results[0], results[1], fleetFigures(results[0]))
	if c.JSON {
		err = asJSON(out, all)
	} else {
		showComparison(out, c, all)
	}
	if err == nil && broken {
		err = errFindings
	}
	return err
}

func showComparison(out *output, c *compareCommand, all []fleet.Compared) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%d pairs\t%s\t%s\tdifference\tin\t\t\n", c.Pairs, c.A, c.B)
	for _, f := range all {
		tells := ""
		if f.Tells {
			tells = "*"
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%+.2f\t%+.2f to %+.2f\t%s\t\n", f.Name, f.MeanA, f.MeanB, f.Difference, f.Least, f.Most, tells)
	}
	_ = w.Flush()
}

type daysCommand struct {
	Only     []string `name:"only" help:"Of the days, by name."`
	Policies []string `name:"policies" default:"own,two-choices" help:"As for play, each on each day."`
	JSON     bool     `name:"json" help:"Print as JSON."`
	fleetFlags
}

func (c *daysCommand) Run(out *output) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	type played struct {
		Day string `json:"day"`
		fleet.Result
	}
	var all []played
	broken := false
	for _, day := range fleet.Days {
		if len(c.Only) > 0 && !slices.Contains(c.Only, day.Name) {
			continue
		}
		so, err := day.Options(o)
		if err != nil {
			return err
		}
		for _, text := range c.Policies {
			w, err := wayOf(text)
			if err != nil {
				return err
			}
			r, err := w.play(ctx, so, out.log)
			if err != nil {
				return err
			}
			all = append(all, played{day.Name, r})
			broken = broken || broke(r)
		}
	}
	if c.JSON {
		err = asJSON(out, all)
	} else {
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "day\tpolicy\tbusiest 1s\t10s\therd\tworst\tidle %\tthrottled %\tin time %\tworst %\tdials\tpeak\tfeed\tpeak\trules")
		for _, p := range all {
			f, rules := p.Figures, "kept"
			if a := p.Audit; a.Broken() {
				rules = fmt.Sprintf("%+v", a)
			}
			at := func(n int) float64 {
				if n < len(f.Windows) {
					return f.Windows[n].Busiest
				}
				return 0
			}
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.1f\t%.1f\t%d\t%.1f\t%d\t%.1f\t%s\n", p.Day, p.Policy, at(1), at(2), f.Herd,
				f.HerdMost, 100*f.Idle, 100*f.Rejected, 100*f.InTime, 100*f.Worst, f.Dials.Total, f.Dials.Most, f.DiscoveryCalls.Total,
				f.DiscoveryCalls.Most, rules)
		}
		err = w.Flush()
	}
	if err == nil && broken {
		err = errFindings
	}
	return err
}

type talkCommand struct {
	Instances []int         `name:"instances" default:"20,100" help:"How many, one run each."`
	Period    time.Duration `name:"period" default:"1s" help:"Between the probes of an instance."`
	Seed      int64         `name:"seed" default:"1" help:"Of what the links lose."`
	JSON      bool          `name:"json" help:"Print as JSON."`
}

func (c *talkCommand) Run(out *output) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	// What an interrupt ends leaves nothing behind: the instances go with this process, their folder here.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var all []fleet.Talk
	for _, many := range c.Instances {
		r, err := fleet.PlayTalk(ctx, program, min(max(many, 2), 400), c.Period, c.Seed, func(format string, args ...any) {
			fmt.Fprintf(out.log, "%d: "+format+"\n", append([]any{many}, args...)...)
		})
		if err != nil {
			return err
		}
		all = append(all, r)
	}
	if c.JSON {
		return asJSON(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	row := func(name string, of func(fleet.Talk) string) {
		fmt.Fprint(w, name, "\t")
		for _, r := range all {
			fmt.Fprint(w, of(r), "\t")
		}
		fmt.Fprintln(w)
	}
	s := func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
	row("instances", func(r fleet.Talk) string { return fmt.Sprint(r.Instances) })
	row("all known after", func(r fleet.Talk) string { return s(r.Formed) })
	row("age of words: half, 99 of 100", func(r fleet.Talk) string { return s(r.AgeHalf) + ", " + s(r.AgeMost) })
	row("datagrams, bytes a second each", func(r fleet.Talk) string { return fmt.Sprintf("%.1f, %.0f", r.Datagrams, r.Bytes) })
	row("processor, % of a core; memory, MB", func(r fleet.Talk) string { return fmt.Sprintf("%.2f, %.1f", 100*r.CPU, r.Memory) })
	row("loss known: first, half, all", func(r fleet.Talk) string { return s(r.LossFirst) + ", " + s(r.LossHalf) + ", " + s(r.LossLast) })
	row("wrongly gone: calm, 30% loss", func(r fleet.Talk) string { return fmt.Sprintf("%d, %d", r.WrongCalm, r.WrongLossy) })
	row("healed after a split", func(r fleet.Talk) string { return s(r.Healed) })
	return w.Flush()
}

type faultsCommand struct{}

func (faultsCommand) Run(out *output) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for _, f := range fleet.FaultKinds() {
		fmt.Fprintf(w, "%s\t%s\n", f[0], f[1])
	}
	return w.Flush()
}

// baselineCommand is what the fleet starts to measure against.
type baselineCommand struct {
	Policy string `name:"policy" arg:"" help:"random, round-robin, least-outstanding or two-choices; or without-rule-1, -2, -3, -6 and -7, ours with a guard taken out."`
}

func (b *baselineCommand) Run(log *slog.Logger) error {
	module, err := baseline.New(b.Policy)
	if err != nil {
		return err
	}
	serve := serveCommand{change: func(c *controller.Controller) { c.Decide(module, baseline.Unguarded(b.Policy)) }}
	return serve.Run(log)
}
