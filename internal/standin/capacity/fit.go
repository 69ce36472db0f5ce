package capacity

// point is one measured value of a slope.
type point struct{ x, y float64 }

// line is y = base + perUnit * x.
type line struct{ base, perUnit float64 }

// fit returns the line of least squares through points. With fewer than two different x it is constant.
func fit(points []point) line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	spread := n*sxx - sx*sx
	if n == 0 {
		return line{}
	}
	if spread == 0 {
		return line{base: sy / n}
	}
	slope := (n*sxy - sx*sy) / spread
	return line{base: (sy - slope*sx) / n, perUnit: slope}
}

// at returns the value of the line at x.
func (l line) at(x float64) float64 { return l.base + l.perUnit*x }
