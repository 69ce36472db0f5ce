package capacity

import (
	"fmt"
	"strings"
	"time"
)

// table writes one Markdown table.
type table struct {
	text strings.Builder
}

func newTable(title, note string, columns ...string) *table {
	t := &table{}
	fmt.Fprintf(&t.text, "\n## %s\n\n", title)
	if note != "" {
		fmt.Fprintf(&t.text, "%s\n\n", note)
	}
	t.row(columns...)
	t.row(strings.Split(strings.Repeat("---,", len(columns)-1)+"---", ",")...)
	return t
}

func (t *table) row(cells ...string) {
	t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) String() string { return t.text.String() }

// Forms of the figures in tables.
func count(n int) string           { return fmt.Sprint(n) }
func percent(x float64) string     { return fmt.Sprintf("%.2f", x) }
func kilobytes(x float64) string   { return fmt.Sprintf("%.2f", x/1000) }
func megabytes(x float64) string   { return fmt.Sprintf("%.1f", x/1e6) }
func rate(x float64) string        { return fmt.Sprintf("%.2f", x) }
func whole(x float64) string       { return fmt.Sprintf("%.0f", x) }
func ms(d time.Duration) string    { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
func micro(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Microsecond)) }
