package losses

import (
	"bytes"
	"fmt"
	"io"

	svg "github.com/ajstarks/svgo"
)

// Size of a plot and of its margins, in pixels.
const (
	plotWidth, plotHeight   = 960, 420
	marginLeft, marginRight = 60, 170
	marginTop, marginBottom = 40, 50
	yTicks, xTicks          = 5, 10
	legendLineHeight        = 20
)

// causeColors are the fill colors of the causes, from the ColorBrewer scheme Paired.
var causeColors = [causeCount]string{
	"#1f78b4", "#e31a1c", "#33a02c", "#ff7f00", "#6a3d9a", "#a6cee3", "#b2df8a", "#fb9a99", "#fdbf6f", "#b15928", "#cab2d6",
}

// WritePlot draws the share of lost requests over time as an SVG document, stacked by cause.
func (r *Report) WritePlot(w io.Writer) error {
	var document bytes.Buffer
	canvas := svg.New(&document)
	canvas.Start(plotWidth, plotHeight)
	canvas.Rect(0, 0, plotWidth, plotHeight, "fill:white")
	canvas.Text(marginLeft, marginTop/2+5, "requests that were late, rejected or failed, by cause", "font-family:sans-serif;font-size:14px")
	p := newPlotArea(r)
	below := make([]float64, len(r.Windows))
	for line, cause := range r.Total.occurring() {
		xs, ys := p.band(r, cause, below)
		canvas.Polygon(xs, ys, "stroke:none;fill:"+causeColors[cause])
		y := marginTop + line*legendLineHeight
		canvas.Rect(plotWidth-marginRight+15, y, 12, 12, "fill:"+causeColors[cause])
		canvas.Text(plotWidth-marginRight+33, y+11, cause.String(), labelStyle)
	}
	p.drawAxes(canvas)
	canvas.End()
	_, err := w.Write(document.Bytes())
	return Error.Wrap(err)
}

const labelStyle = "font-family:sans-serif;font-size:12px"

// plotArea maps seconds and shares to pixels.
type plotArea struct{ seconds float64 }

func newPlotArea(r *Report) plotArea {
	if len(r.Windows) == 0 {
		return plotArea{1}
	}
	return plotArea{max(1, r.Windows[len(r.Windows)-1].StartSeconds)}
}

func (p plotArea) x(seconds float64) int {
	return marginLeft + int(seconds/p.seconds*(plotWidth-marginLeft-marginRight))
}

func (p plotArea) y(share float64) int {
	return plotHeight - marginBottom - int(share*(plotHeight-marginTop-marginBottom))
}

// band returns the outline of the area of a cause, and adds its heights to those of the areas below it.
func (p plotArea) band(r *Report, cause Cause, below []float64) (xs, ys []int) {
	for i := range r.Windows {
		xs, ys = append(xs, p.x(r.Windows[i].StartSeconds)), append(ys, p.y(below[i]))
	}
	for i := len(r.Windows) - 1; i >= 0; i-- {
		window := &r.Windows[i]
		below[i] += float64(window.Counts.Causes[cause]) / float64(window.Counts.Requests)
		xs, ys = append(xs, p.x(window.StartSeconds)), append(ys, p.y(below[i]))
	}
	return xs, ys
}

func (p plotArea) drawAxes(canvas *svg.SVG) {
	const line = "stroke:black;stroke-width:1"
	canvas.Line(p.x(0), p.y(0), p.x(p.seconds), p.y(0), line)
	canvas.Line(p.x(0), p.y(0), p.x(0), p.y(1), line)
	for i := range yTicks + 1 {
		share := float64(i) / yTicks
		canvas.Text(marginLeft-8, p.y(share)+4, fmt.Sprintf("%.1f", share), labelStyle+";text-anchor:end")
	}
	for i := range xTicks + 1 {
		seconds := p.seconds * float64(i) / xTicks
		canvas.Text(p.x(seconds), p.y(0)+18, fmt.Sprintf("%.0f", seconds), labelStyle+";text-anchor:middle")
	}
	canvas.Text(p.x(p.seconds/2), plotHeight-10, "seconds since the first request", labelStyle+";text-anchor:middle")
}
