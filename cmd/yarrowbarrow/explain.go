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
func loadOperatorsFile(path string, platform *lang.Platform, out *output) (*lang.Config, error) {
	loaded := lang.Load(path, platform)
	if loaded.Plan == nil {
		_ = loaded.Messages.Print(out.errOut)
		return nil, errFindings
	}
	return loaded, nil
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
	oldConfig, err := loadOperatorsFile(d.Old, nil, out)
	if err != nil {
		return err
	}
	newConfig, err := loadOperatorsFile(d.New, nil, out)
	if err != nil {
		return err
	}
	changes, complete := lang.Diff(oldConfig, newConfig)
	if d.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if changes == nil {
			changes = []lang.Change{}
		}
		err = encoder.Encode(map[string]any{"changes": changes, "complete": complete})
	} else {
		for _, change := range changes {
			fmt.Fprintln(out, change)
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
type explanation struct {
	Job           string            `json:"job"`
	Route         string            `json:"route,omitempty"`
	Policy        string            `json:"policy,omitempty"`
	Limits        []string          `json:"limits,omitempty"`
	Pools         []poolExplanation `json:"pools,omitempty"`
	SkippedRoutes []skippedRoute    `json:"passed,omitempty"`
}

type poolExplanation struct {
	Pool         string           `json:"pool"`
	Engines      []route.EngineID `json:"engines,omitempty"` // these four where engines are known
	OtherEngines int              `json:"others,omitempty"`  // engines that are no members
	EngineCount  string           `json:"stands,omitempty"`
	Available    *bool            `json:"fit,omitempty"`
	Overflow     string           `json:"overflow,omitempty"`
}

type skippedRoute struct {
	Route  string `json:"route"`
	Reason string `json:"why"`
}

func (e *explainCommand) Run(out *output) error {
	cfg, platform, err := e.readPlatform()
	if err != nil {
		return err
	}
	operators, err := loadOperatorsFile(e.File, platform, out)
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
	found := operators.Plan.Explain(&job, engines)
	result := explanation{Job: lang.Describe(&job)}
	for _, pool := range found.Passed {
		result.SkippedRoutes = append(result.SkippedRoutes, skippedRoute{string(pool.Route.Name), pool.Why})
	}
	if matched := found.Route; matched != nil {
		result.Route, result.Policy, result.Limits = string(matched.Name), matched.Policy.Name, matched.Policy.Limits()
		for _, poolView := range found.Pools {
			pool := poolExplanation{Pool: string(poolView.Pool.Name), Overflow: string(poolView.Pool.Overflow)}
			if cfg != nil {
				pool.Engines, pool.OtherEngines, pool.EngineCount, pool.Available = poolView.Engines, poolView.Left, poolView.Stands, &poolView.Fit
			}
			result.Pools = append(result.Pools, pool)
		}
	}
	if e.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	result.print(out)
	return nil
}

func (t *explanation) print(out *output) {
	fmt.Fprintf(out, "job    %s\n", t.Job)
	for _, p := range t.SkippedRoutes {
		fmt.Fprintf(out, "passed route %q, as it does not hold that %s\n", p.Route, p.Reason)
	}
	if t.Route == "" {
		fmt.Fprintln(out, "route  none: any engine that its type allows")
		return
	}
	fmt.Fprintf(out, "route  %q\n", t.Route)
	if len(t.Pools) == 0 {
		fmt.Fprintln(out, "pool   none: any engine that its type allows")
	}
	for index, p := range t.Pools {
		label := "pool  "
		if index > 0 {
			label = "else  "
		}
		fmt.Fprintf(out, "%s %s", label, p.Pool)
		if p.Available != nil {
			fmt.Fprintf(out, ": %s, of %d that are known", p.EngineCount, len(p.Engines)+p.OtherEngines)
			if !*p.Available {
				fmt.Fprint(out, "; not fit, so that it is passed over")
			}
		}
		if p.Overflow != "" {
			fmt.Fprintf(out, "; what waits there for long may also go to %s", p.Overflow)
		}
		fmt.Fprintln(out)
		for _, engine := range p.Engines {
			fmt.Fprintf(out, "       %s\n", engine)
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
	_, platform, err := r.readPlatform()
	if err != nil {
		return err
	}
	operators, err := loadOperatorsFile(r.File, platform, out)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "#\troute\tmatch\tpools\tpolicy")
	for n, r := range operators.Plan.Routes {
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
	flagNames := func(node *kong.Node) (long []string) {
		for _, flag := range node.Flags {
			long = append(long, "--"+flag.Name)
		}
		return long
	}
	for _, node := range parser.Model.Children {
		names = append(names, node.Name)
		cases = append(cases, fmt.Sprintf("    %s) words=\"%s\" ;;", node.Name, strings.Join(append(flagNames(node), flagNames(parser.Model.Node)...), " ")))
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
`, strings.Join(append(names, flagNames(parser.Model.Node)...), " "), strings.Join(cases, "\n"))
	return err
}
