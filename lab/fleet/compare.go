package fleet

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Figure is a number of a run that runs are compared by.
type Figure struct {
	Name string
	Form string
	Of   func(Result) float64
}

// Compared is a figure of two ways that were played in pairs on the same seeds.
type Compared struct {
	Name       string    `json:"name"`
	A, B       []float64 `json:"-"`
	MeanA      float64   `json:"a"`
	MeanB      float64   `json:"b"`
	Difference float64   `json:"difference"` // of B from A
	Pairs      int       `json:"pairs"`
	Least      float64   `json:"least"` // the interval in which the difference lies in 19 of 20 such comparisons
	Most       float64   `json:"most"`
	Tells      bool      `json:"tells"` // the interval is all on one side of 0
}

// Compare pairs the runs of two ways: the difference of each pair, their mean, and its interval by Student's distribution,
// which takes differences to be about normal. One pair has no interval.
func Compare(a, b []Result, figures []Figure) (all []Compared) {
	for _, f := range figures {
		c := Compared{Name: f.Name}
		var differences []float64
		for n := range min(len(a), len(b)) {
			c.A, c.B = append(c.A, f.Of(a[n])), append(c.B, f.Of(b[n]))
			differences = append(differences, c.B[n]-c.A[n])
		}
		if len(differences) == 0 {
			continue
		}
		c.MeanA, c.MeanB, c.Difference = stat.Mean(c.A, nil), stat.Mean(c.B, nil), stat.Mean(differences, nil)
		c.Pairs = len(differences)
		c.Least, c.Most = c.Difference, c.Difference
		if n := float64(len(differences)); n > 1 {
			margin := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(differences, nil) / math.Sqrt(n)
			c.Least, c.Most = c.Difference-margin, c.Difference+margin
			c.Tells = c.Least > 0 || c.Most < 0
		}
		all = append(all, c)
	}
	return all
}
