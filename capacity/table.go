package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Rows returns the figures of a size as rows of text: role, figure, value, budget, headroom, the multiple of the fleet
// size at which the budget is reached, and the mechanism.
func Rows(size Size, slopes Slopes) [][]string {
	var rows [][]string
	for i, f := range Figures(size, slopes) {
		rows = append(rows, []string{
			f.Role, f.What, amount(f.Value, f.Unit), budget(f), headroom(f), scaleLimit(ScaleLimit(size, slopes, i)), f.Mechanism,
		})
	}
	return rows
}

// Header names the columns of Rows.
func Header() []string {
	return []string{"role", "figure", "value", "budget", "headroom", "reached at", "mechanism"}
}

// Markdown returns the rows as a Markdown table.
func Markdown(size Size, slopes Slopes) string {
	var out strings.Builder
	line := func(cells []string) { _, _ = fmt.Fprintf(&out, "| %s |\n", strings.Join(cells, " | ")) }
	line(Header())
	line(strings.Split(strings.Repeat("---,", len(Header())-1)+"---", ","))
	for _, row := range Rows(size, slopes) {
		line(row)
	}
	return out.String()
}

func budget(f Figure) string {
	if f.Budget == 0 {
		return "-"
	}
	return amount(f.Budget, f.Unit)
}

func headroom(f Figure) string {
	if f.Budget == 0 || f.Value == 0 {
		return "-"
	}
	if f.Headroom() < 1 {
		return fmt.Sprintf("OVER, %sx", digits(f.Value/f.Budget))
	}
	return digits(f.Headroom()) + "x"
}

func scaleLimit(n float64) string {
	switch {
	case n == 0:
		return "-"
	case n >= NeverReached:
		return "never"
	case n == FallsWithSize:
		return "falls with size"
	case n == AlwaysExceeded:
		return "any size"
	default:
		return digits(n) + "x"
	}
}

// amount formats a value with its unit, and bytes with a decimal prefix.
func amount(value float64, unit string) string {
	if !strings.HasPrefix(unit, "B") {
		return strings.TrimSpace(digits(value) + " " + unit)
	}
	for _, prefix := range []string{"", "K", "M"} {
		if value < 1000 {
			return digits(value) + " " + prefix + unit
		}
		value /= 1000
	}
	return digits(value) + " G" + unit
}

// digits formats a value with about three digits.
func digits(value float64) string {
	switch {
	case value >= 100 || value == math.Trunc(value):
		return fmt.Sprintf("%.0f", value)
	case value >= 10:
		return fmt.Sprintf("%.1f", value)
	default:
		return fmt.Sprintf("%.2g", value)
	}
}
