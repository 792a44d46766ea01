package losses

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the format
)

// Size of the plot.
const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// legendRoom is the part of the plot above the highest bar that is left to the legend.
	legendRoom = 0.6
	// mostBars is how many bars the plot holds; logs of a longer time have more seconds to
	// a bar.
	mostBars = 240
	// barMargin is the room at both ends, in bars.
	barMargin = 10
)

// SVG writes a plot of the losses by time, stacked by cause.
func (r *Report) SVG(out io.Writer) error {
	p := plot.New()
	p.Title.Text = "Requests late, refused or failed, by cause"
	barSeconds := r.barSeconds()
	p.X.Label.Text = fmt.Sprintf("time from the first line, %d s a bar", barSeconds)
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	if err := r.addBars(p, barSeconds); err != nil {
		return err
	}
	p.Y.Max *= 1 + legendRoom
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = w.WriteTo(out)
	return Error.Wrap(err)
}

// lastSecond is that of the last loss.
func (r *Report) lastSecond() int {
	last := 0
	for _, s := range r.Seconds {
		last = max(last, s.At)
	}
	return last
}

// barSeconds is how many seconds a bar stands for.
func (r *Report) barSeconds() int { return r.lastSecond()/mostBars + 1 }

func (r *Report) addBars(p *plot.Plot, barSeconds int) error {
	bars := r.lastSecond()/barSeconds + 1
	width := plotWidth / vg.Length(bars+barMargin)
	var below *plotter.BarChart
	for i, cause := range causes {
		values := make(plotter.Values, bars)
		for _, s := range r.Seconds {
			values[s.At/barSeconds] += float64(s.Causes[cause])
		}
		if !some(values) {
			continue
		}
		chart, err := plotter.NewBarChart(values, width)
		if err != nil {
			return Error.Wrap(err)
		}
		chart.Color, chart.LineStyle.Color = colorOf(i), color.Transparent
		if below != nil {
			chart.StackOn(below)
		}
		below = chart
		p.Add(chart)
		p.Legend.Add(string(cause), chart)
	}
	return nil
}

// colorOf differs for each cause, the same in all plots.
func colorOf(i int) color.Color {
	n := len(plotutil.SoftColors)
	if i < n {
		return plotutil.SoftColors[i]
	}
	return plotutil.DarkColors[(i-n)%len(plotutil.DarkColors)]
}

func some(values plotter.Values) bool {
	for _, v := range values {
		if v > 0 {
			return true
		}
	}
	return false
}
