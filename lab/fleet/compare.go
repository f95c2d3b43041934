package fleet

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Metric is a quantity by which runs are compared.
type Metric struct {
	Name   string
	Format string // fmt verb for the value
	Value  func(Result) float64
}

// Comparison is the comparison of a figure between two variants, A and B, that were run in pairs on the same seeds.
type Comparison struct {
	Name        string    `json:"name"`
	A, B        []float64 `json:"-"`
	MeanA       float64   `json:"a"`
	MeanB       float64   `json:"b"`
	Difference  float64   `json:"difference"` // MeanB - MeanA
	Pairs       int       `json:"pairs"`
	CILow       float64   `json:"least"` // lower bound of the 95% confidence interval of the difference
	CIHigh      float64   `json:"most"`  // its upper bound
	Significant bool      `json:"tells"` // the difference is significant: the interval does not contain 0
}

// Compare compares the runs of two variants pair by pair: it returns the mean of the differences and its confidence interval by Student's
// t-distribution, which assumes that differences are roughly normally distributed. A single pair has no interval.
func Compare(a, b []Result, figures []Metric) (all []Comparison) {
	for _, f := range figures {
		c := Comparison{Name: f.Name}
		var differences []float64
		for n := range min(len(a), len(b)) {
			c.A, c.B = append(c.A, f.Value(a[n])), append(c.B, f.Value(b[n]))
			differences = append(differences, c.B[n]-c.A[n])
		}
		if len(differences) == 0 {
			continue
		}
		c.MeanA, c.MeanB, c.Difference = stat.Mean(c.A, nil), stat.Mean(c.B, nil), stat.Mean(differences, nil)
		c.Pairs = len(differences)
		c.CILow, c.CIHigh = c.Difference, c.Difference
		if n := float64(len(differences)); n > 1 {
			margin := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(differences, nil) / math.Sqrt(n)
			c.CILow, c.CIHigh = c.Difference-margin, c.Difference+margin
			c.Significant = c.CILow > 0 || c.CIHigh < 0
		}
		all = append(all, c)
	}
	return all
}
