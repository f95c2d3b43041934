package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"yarrowbarrow/config/lang"
	"yarrowbarrow/decide/route"
)

// loadFile reads a file that must be free of errors.
func loadFile(path string, platform *lang.Platform, out *output) (*lang.Config, error) {
	c := lang.Load(path, platform)
	if c.Plan == nil {
		_ = c.Messages.Print(out.log)
		return nil, errFindings
	}
	return c, nil
}

type diffCommand struct {
	JSON     bool   `name:"json" help:"Write the changes as JSON."`
	ExitCode bool   `name:"exit-code" help:"End with exit code 1 where there is a change."`
	Old      string `name:"old" arg:"" help:"The earlier version."`
	New      string `name:"new" arg:"" help:"The later version."`
}

func (diffCommand) Help() string {
	return `What is compared is what the files mean, after includes and inheritance. Jobs that would go elsewhere are told
with an example for each pair of routes; figures that changed a hundredfold are pointed out.

  yarrowbarrow diff --exit-code yesterday/operator.conf deploy/operator.conf`
}

func (d *diffCommand) Run(out *output) error {
	was, err := loadFile(d.Old, nil, out)
	if err != nil {
		return err
	}
	now, err := loadFile(d.New, nil, out)
	if err != nil {
		return err
	}
	changes, complete := lang.Diff(was, now)
	if d.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if changes == nil {
			changes = []lang.Change{}
		}
		err = e.Encode(map[string]any{"changes": changes, "complete": complete})
	} else {
		for _, c := range changes {
			fmt.Fprintln(out, c)
		}
		if !complete {
			fmt.Fprintln(out, "! there may be more jobs that go elsewhere: the routes are too many or too wide to follow all")
		}
	}
	if err == nil && d.ExitCode && len(changes) > 0 {
		err = errFindings
	}
	return err
}

type explainCommand struct {
	platformFlag
	JSON bool     `name:"json" help:"Write the explanation as JSON."`
	File string   `name:"file" arg:"" help:"The operators' file."`
	Job  []string `name:"job" arg:"" help:"The job, as terms: type=lookup customer=c1 tables=17 cost=2core-s memory=96MB left=1500ms."`
}

func (explainCommand) Help() string {
	return `Engines are those that the platform's file knows at the start. A running controller logs the route of each job
at --log-level debug, and what its pools do at level info.

  yarrowbarrow explain --platform deploy/example.json deploy/operator.conf type=load cost=3core-s`
}

// explained is the form for other programs.
type explained struct {
	Job    string          `json:"job"`
	Route  string          `json:"route,omitempty"`
	Policy string          `json:"policy,omitempty"`
	Limits []string        `json:"limits,omitempty"`
	Pools  []explainedPool `json:"pools,omitempty"`
	Passed []passedRoute   `json:"passed,omitempty"`
}

type explainedPool struct {
	Pool     string           `json:"pool"`
	Engines  []route.EngineID `json:"engines,omitempty"` // these four where engines are known
	Others   int              `json:"others,omitempty"`  // engines that are no members
	Stands   string           `json:"stands,omitempty"`
	Fit      *bool            `json:"fit,omitempty"`
	Overflow string           `json:"overflow,omitempty"`
}

type passedRoute struct {
	Route string `json:"route"`
	Why   string `json:"why"`
}

func (e *explainCommand) Run(out *output) error {
	cfg, platform, err := e.read()
	if err != nil {
		return err
	}
	c, err := loadFile(e.File, platform, out)
	if err != nil {
		return err
	}
	job, err := lang.ParseJob(strings.Join(e.Job, ","))
	if err != nil {
		return err
	}
	var engines []route.Engine
	if cfg != nil {
		engines = cfg.Engines()
	}
	found := c.Plan.Explain(&job, engines)
	told := explained{Job: lang.Describe(&job)}
	for _, p := range found.Passed {
		told.Passed = append(told.Passed, passedRoute{string(p.Route.Name), p.Why})
	}
	if r := found.Route; r != nil {
		told.Route, told.Policy, told.Limits = string(r.Name), r.Policy.Name, r.Policy.Limits()
		for _, v := range found.Pools {
			p := explainedPool{Pool: string(v.Pool.Name), Overflow: string(v.Pool.Overflow)}
			if cfg != nil {
				p.Engines, p.Others, p.Stands, p.Fit = v.Engines, v.Left, v.Stands, &v.Fit
			}
			told.Pools = append(told.Pools, p)
		}
	}
	if e.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(told)
	}
	told.print(out)
	return nil
}

func (t *explained) print(out *output) {
	fmt.Fprintf(out, "job    %s\n", t.Job)
	for _, p := range t.Passed {
		fmt.Fprintf(out, "passed route %q, as it does not hold that %s\n", p.Route, p.Why)
	}
	if t.Route == "" {
		fmt.Fprintln(out, "route  none: any engine that its type allows")
		return
	}
	fmt.Fprintf(out, "route  %q\n", t.Route)
	if len(t.Pools) == 0 {
		fmt.Fprintln(out, "pool   none: any engine that its type allows")
	}
	for n, p := range t.Pools {
		word := "pool  "
		if n > 0 {
			word = "else  "
		}
		fmt.Fprintf(out, "%s %s", word, p.Pool)
		if p.Fit != nil {
			fmt.Fprintf(out, ": %s, of %d that are known", p.Stands, len(p.Engines)+p.Others)
			if !*p.Fit {
				fmt.Fprint(out, "; not fit, so that it is passed over")
			}
		}
		if p.Overflow != "" {
			fmt.Fprintf(out, "; what waits there for long may also go to %s", p.Overflow)
		}
		fmt.Fprintln(out)
		for _, e := range p.Engines {
			fmt.Fprintf(out, "       %s\n", e)
		}
	}
	if t.Policy != "" {
		fmt.Fprintf(out, "policy %s: %s\n", t.Policy, strings.Join(t.Limits, ", "))
	}
}

type routesCommand struct {
	platformFlag
	File string `name:"file" arg:"" help:"The operators' file."`
}

func (r *routesCommand) Run(out *output) error {
	_, platform, err := r.read()
	if err != nil {
		return err
	}
	c, err := loadFile(r.File, platform, out)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "#\troute\tmatch\tpools\tpolicy")
	for n, r := range c.Plan.Routes {
		var pools []string
		for _, p := range r.Pools {
			pools = append(pools, string(p.Name))
		}
		if pools == nil {
			pools = []string{"any engine"}
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", n+1, r.Name, r.Match, strings.Join(pools, ", else "), r.Policy.Name)
	}
	return w.Flush()
}

type versionCommand struct{}

func (versionCommand) Run(out *output) error {
	_, err := fmt.Fprintln(out, "yarrowbarrow", version())
	return err
}

type completionCommand struct{}

func (completionCommand) Help() string { return `  source <(yarrowbarrow completion)` }

// Run writes a script that completes commands and their flags, and else files.
func (completionCommand) Run(out *output, parser *kong.Kong) error {
	var cases, names []string
	flags := func(n *kong.Node) (all []string) {
		for _, f := range n.Flags {
			all = append(all, "--"+f.Name)
		}
		return all
	}
	for _, n := range parser.Model.Children {
		names = append(names, n.Name)
		cases = append(cases, fmt.Sprintf("    %s) words=\"%s\" ;;", n.Name, strings.Join(append(flags(n), flags(parser.Model.Node)...), " ")))
	}
	_, err := fmt.Fprintf(out, `_yarrowbarrow() {
  local word=${COMP_WORDS[COMP_CWORD]} words="%s"
  case ${COMP_WORDS[1]} in
%s
  esac
  COMPREPLY=($(compgen -W "$words" -- "$word"))
  [ $COMP_CWORD -gt 1 ] && [ "${word#-}" = "$word" ] && COMPREPLY=($(compgen -f -- "$word"))
}
complete -o filenames -F _yarrowbarrow yarrowbarrow
`, strings.Join(append(names, flags(parser.Model.Node)...), " "), strings.Join(cases, "\n"))
	return err
}
