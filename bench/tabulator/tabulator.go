// Package tabulator writes the results of an experiment as a table, as CSV and as a plot.
package tabulator

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Modes of files and size of a plot.
const (
	folderMode = 0o755
	fileMode   = 0o644
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Row is one row of a table: the value of a measure for a subject, and its target.
type Row struct {
	Measure string
	Subject string
	Value   string
	// Target is empty if the row is for comparison only.
	Target string
	Met    bool
}

// Series is one named line of a plot.
type Series struct {
	Name   string
	Points []Point
}

// Point is one value of a series, at a position on the horizontal axis.
type Point struct {
	X, Y float64
}

// Result holds the rows of a table, and the series of a plot if there is one.
type Result struct {
	Name   string
	Rows   []Row
	Series []Series
	XLabel string
	YLabel string
}

// InfoRow returns a row without a target.
func InfoRow(measure, subject, format string, a ...any) Row {
	return Row{Measure: measure, Subject: subject, Value: fmt.Sprintf(format, a...)}
}

// TargetRow returns a row with a target and whether it was met.
func TargetRow(measure, subject, target string, met bool, format string, a ...any) Row {
	return Row{Measure: measure, Subject: subject, Value: fmt.Sprintf(format, a...), Target: target, Met: met}
}

// Print writes the result as an aligned table.
func (r Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\t\t\t\t\nmeasure\tsubject\tvalue\ttarget\t\n", r.Name)
	for _, o := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", o.Measure, o.Subject, o.Value, o.Target, verdict(o))
	}
	fmt.Fprintln(w)
	return w.Flush()
}

// Save writes NAME.csv, and NAME.png if there are series, into a folder, which it creates if
// necessary.
func (r Result) Save(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "creating the folder of results")
	}
	if err := r.saveTable(filepath.Join(folder, r.Name+".csv")); err != nil {
		return err
	}
	if len(r.Series) == 0 {
		return nil
	}
	return r.savePlot(filepath.Join(folder, r.Name+".png"))
}

func (r Result) saveTable(path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "creating the table")
	}
	defer f.Close()
	w := csv.NewWriter(f)
	_ = w.Write([]string{"measure", "subject", "value", "target", "verdict"}) // reported by Error below
	for _, o := range r.Rows {
		_ = w.Write([]string{o.Measure, o.Subject, o.Value, o.Target, verdict(o)}) // reported by Error below
	}
	w.Flush()
	return errors.Wrap(w.Error(), "writing the table")
}

func (r Result) savePlot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = r.Name, r.XLabel, r.YLabel
	var series []any
	for _, l := range r.Series {
		points := make(plotter.XYs, len(l.Points))
		for i, q := range l.Points {
			points[i] = plotter.XY{X: q.X, Y: q.Y}
		}
		series = append(series, l.Name, points)
	}
	if err := plotutil.AddLines(p, series...); err != nil {
		return errors.Wrap(err, "drawing the plot")
	}
	p.Legend.Top = true
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "writing the plot")
}

func verdict(r Row) string {
	switch {
	case r.Target == "":
		return ""
	case r.Met:
		return "met"
	}
	return "MISSED"
}
