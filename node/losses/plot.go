package losses

import (
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
)

// SVG writes a plot of the losses: a bar a second, stacked by cause.
func (r *Report) SVG(out io.Writer) error {
	p := plot.New()
	p.Title.Text = "Requests late, refused or failed, by cause"
	p.X.Label.Text = "seconds from the first line"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	if err := r.addBars(p); err != nil {
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

func (r *Report) addBars(p *plot.Plot) error {
	last := 0
	for _, s := range r.Seconds {
		last = max(last, s.At)
	}
	width := plotWidth / vg.Length(last+10)
	var below *plotter.BarChart
	for i, cause := range causes {
		values := make(plotter.Values, last+1)
		for _, s := range r.Seconds {
			if s.At >= 0 {
				values[s.At] = float64(s.Causes[cause])
			}
		}
		if !some(values) {
			continue
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return Error.Wrap(err)
		}
		bars.Color, bars.LineStyle.Color = colorOf(i), color.Transparent
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(string(cause), bars)
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
