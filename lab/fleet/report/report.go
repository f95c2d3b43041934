// Package report writes runs of a fleet as one self-contained HTML page: a table of figures, and for each run plots of how busy each engine
// was over time, of the outcomes of jobs by when they were sent, and of the share of jobs in time by controller.
package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	svg "github.com/ajstarks/svgo"

	"yarrowbarrow/lab/fleet"
	"yarrowbarrow/lab/fleet/spread"
)

// Row is a figure with its value for each run.
type Row struct {
	Name   string
	Values []string
}

// Page is the content of a report.
type Page struct {
	Title   string
	Command string // command line that repeats the runs
	Faults  []fleet.Fault
	Rows    []Row
	Results []fleet.Result
}

// parsedTemplate parses the template on first use, because the same program runs as a controller, which does not need it.
var parsedTemplate = sync.OnceValue(func() *template.Template { return template.Must(template.New("page").Parse(pageTemplate)) })

const pageTemplate = `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 1000px; color: #222; padding: 0 1em }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .15em .9em; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left } code { background: #f3f3f3; padding: .1em .3em }
h2 { margin-top: 2em } figure { margin: 1em 0 } figcaption { color: #555; max-width: 60em } svg { max-width: 100%; height: auto }
</style>
<h1>{{.Title}}</h1>
<p>Repeat with <code>{{.Command}}</code>.{{if .Faults}} Faults:{{range .Faults}} <code>{{.}}</code>{{end}}.{{end}}</p>
<table><tr><th></th>{{range .Results}}<th>{{.Policy}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Values}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Name}}</h2>
<figure>{{.Engines}}<figcaption>Engines, one per row, over time: white idle, blue all cores busy, red jobs sharing cores. Grey
lines mark the starts of faults.</figcaption></figure>
<figure>{{.Jobs}}<figcaption>Jobs by when they were sent: in time (green), late (yellow), rejected (orange), no answer
(red).</figcaption></figure>
<figure>{{.Controllers}}<figcaption>Controllers by their number of jobs (x) and the share of them done in time (y).</figcaption></figure>
<figure>{{.Calls}}<figcaption>Connections opened to engines (blue) and calls to discovery (grey), all controllers together.</figcaption></figure>
{{end}}</html>
`

// plots are the plots of one run.
type plots struct {
	Name                              string
	Engines, Jobs, Controllers, Calls template.HTML
}

// Write writes the page as HTML. Results without a timeline have no plots.
func Write(w io.Writer, p Page) error {
	data := struct {
		Page
		Plots []plots
	}{Page: p}
	for _, r := range p.Results {
		if r.Timeline != nil {
			data.Plots = append(data.Plots, plots{r.Policy, engineHeatmap(r.Timeline, p.Faults), outcomeBars(r.Timeline, p.Faults),
				controllerScatter(r.Timeline), callLines(r.Timeline, p.Faults)})
		}
	}
	return parsedTemplate().Execute(w, data)
}

// Sizes of a plot in pixels: its width, and the margins for the scales on the left and at the bottom.
const width, left, bottom = 960, 56, 22

// renderPlot renders a plot of a height as SVG, with a frame. If length is above 0, it has a time scale and a line at the start of each fault.
func renderPlot(height int, length time.Duration, faults []fleet.Fault, paint func(*svg.SVG)) template.HTML {
	var b bytes.Buffer
	s := svg.New(&b)
	s.Startview(width, height+bottom, 0, 0, width, height+bottom)
	paint(s)
	s.Rect(left, 0, width-left-1, height, "fill:none;stroke:#999")
	if length > 0 {
		step := max(length/10, time.Second).Round(time.Second)
		for t := time.Duration(0); t <= length; t += step {
			s.Text(timeToX(t, length), height+16, fmt.Sprint(t), "font:11px sans-serif;text-anchor:middle;fill:#555")
		}
		for _, f := range faults {
			if f.At < length {
				s.Line(timeToX(f.At, length), 0, timeToX(f.At, length), height, "stroke:#777;stroke-dasharray:3,3")
				s.Text(timeToX(f.At, length)+3, 11, f.Name, "font:11px sans-serif;fill:#555")
			}
		}
	}
	s.End()
	rendered := b.Bytes()
	if at := bytes.Index(rendered, []byte("<svg")); at > 0 { // drop the XML declaration, which is not allowed inside HTML
		rendered = rendered[at:]
	}
	return template.HTML(rendered) // safe: contains only numbers and names of known faults
}

// timeToX returns the x coordinate of a time in a plot that spans length.
func timeToX(t, length time.Duration) int {
	return left + int(float64(width-left-1)*float64(t)/float64(length))
}

// labelY writes a label of the y axis.
func labelY(s *svg.SVG, y int, text string) {
	s.Text(left-4, y+4, text, "font:11px sans-serif;text-anchor:end;fill:#555")
}

// engineHeatmap renders how busy each engine was over time.
func engineHeatmap(p *spread.Timeline, faults []fleet.Fault) template.HTML {
	row := max(min(320/max(len(p.Engines), 1), 16), 3)
	length := p.Window * time.Duration(len(p.Jobs))
	return renderPlot(row*len(p.Engines), length, faults, func(s *svg.SVG) {
		for e, windows := range p.Engines {
			for w, used := range windows {
				x := timeToX(time.Duration(w)*p.Window, length)
				s.Rect(x, e*row, timeToX(time.Duration(w+1)*p.Window, length)-x, row, "fill:"+loadColor(used))
			}
		}
		labelY(s, 8, "engine 0")
		labelY(s, row*len(p.Engines)-6, fmt.Sprint(len(p.Engines)-1))
	})
}

// loadColor returns a color from white (idle) over blue (all cores busy) to red (three jobs per core).
func loadColor(used float64) string {
	if used <= 1 {
		brightness := int(255 - 155*math.Max(used, 0))
		return fmt.Sprintf("rgb(%d,%d,255)", brightness, brightness)
	}
	excess := math.Min((used-1)/2, 1)
	return fmt.Sprintf("rgb(%d,%d,%d)", int(100+155*excess), int(100-60*excess), int(255-215*excess))
}

// outcomeBars renders the outcomes of jobs as stacked bars over time.
func outcomeBars(p *spread.Timeline, faults []fleet.Fault) template.HTML {
	const height = 160
	maxSent := 1
	for _, j := range p.Jobs {
		maxSent = max(maxSent, j.Sent)
	}
	length := p.Window * time.Duration(len(p.Jobs))
	return renderPlot(height, length, faults, func(s *svg.SVG) {
		for w, j := range p.Jobs {
			x, y := timeToX(time.Duration(w)*p.Window, length), height
			barWidth := timeToX(time.Duration(w+1)*p.Window, length) - x
			for _, part := range []struct {
				jobs  int
				color string
			}{{j.InTime, "#7ab87a"}, {j.Late, "#e6cf55"}, {j.Rejected, "#e8954a"}, {j.Unanswered, "#c93030"}} {
				barHeight := part.jobs * height / maxSent
				y -= barHeight
				s.Rect(x, y, barWidth, barHeight, "fill:"+part.color)
			}
		}
		labelY(s, 8, fmt.Sprintf("%.0f/s", float64(maxSent)/p.Window.Seconds()))
		labelY(s, height-4, "0")
	})
}

// controllerScatter renders a dot for each controller that had jobs.
func controllerScatter(p *spread.Timeline) template.HTML {
	const height = 140
	if len(p.Controllers) == 0 {
		return ""
	}
	maxJobs := max(slices.MaxFunc(p.Controllers, func(a, b spread.ControllerOutcome) int { return cmp.Compare(a.Jobs, b.Jobs) }).Jobs, 1)
	return renderPlot(height, 0, nil, func(s *svg.SVG) {
		for _, c := range p.Controllers {
			if c.Jobs > 0 {
				x := left + (width-left-10)*c.Jobs/maxJobs
				s.Circle(x, 5+int(float64(height-10)*(1-float64(c.InTime)/float64(c.Jobs))), 3, "fill:#3366aa;fill-opacity:0.5")
			}
		}
		labelY(s, 8, "all")
		labelY(s, height-4, "none")
		s.Text(width-4, height+16, fmt.Sprintf("%d jobs", maxJobs), "font:11px sans-serif;text-anchor:end;fill:#555")
	})
}

// callLines renders the rates of dials and of discovery calls as two lines.
func callLines(p *spread.Timeline, faults []fleet.Fault) template.HTML {
	const height = 100
	maxCount := max(slices.Max(p.Dials), slices.Max(p.DiscoveryCalls), 1)
	length := p.Window * time.Duration(len(p.Jobs))
	return renderPlot(height, length, faults, func(s *svg.SVG) {
		for _, line := range []struct {
			counts []int
			color  string
		}{{p.DiscoveryCalls, "#999999"}, {p.Dials, "#3366aa"}} {
			var xs, ys []int
			for w, n := range line.counts {
				xs = append(xs, timeToX(time.Duration(w)*p.Window+p.Window/2, length))
				ys = append(ys, height-n*height/maxCount)
			}
			s.Polyline(xs, ys, "fill:none;stroke:"+line.color)
		}
		labelY(s, 8, fmt.Sprintf("%.0f/s", float64(maxCount)/p.Window.Seconds()))
		labelY(s, height-4, "0")
	})
}
