package tally

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

// kindsShown limits the refusal kinds listed in a row.
const kindsShown = 3

// PrintMarkdown writes lines as a Markdown table with fewer columns than PrintTable and
// times in seconds.
func PrintMarkdown(w io.Writer, lines []Line) error {
	const head = "| case | policy | in time % | kept % | tokens/s | stalled % | stall mean | p50 | p95 | p99 | p99 with refused " +
		"| first p95 | between p95 ms | batch | Jain | worst | refused % |\n" +
		"|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|---|---|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for i := range lines {
		l := &lines[i]
		if l.Customer == BoundCustomer {
			if _, err := fmt.Fprintf(w, "| %s | %s | %s | | %.0f | | %.2f | | | | | | | %s | | | |\n",
				l.Case, l.Policy, percent(l.InTime, l.Offered), l.Goodput, l.Stall.Mean/1000, blank(l.BatchEfficiency)); err != nil {
				return err
			}
			continue
		}
		name := l.Policy
		if l.Customer != "all" {
			name += " / " + l.Customer
		}
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %.0f | %.1f | %.2f | %s | %s | %s | %s | %s | %.1f | %s | %s | %s | %s |\n",
			l.Case, name, percent(l.InTime, l.Offered), percent(l.InTime, l.Admitted), l.Goodput, 100*l.StalledShare,
			l.Stall.Mean/1000, seconds(l.Stall.P50), seconds(l.Stall.P95), seconds(l.Stall.P99), seconds(l.StallWithRefused.P99),
			seconds(l.FirstToken.P95), float64(l.TokenGap.P95)/1000, blank(l.BatchEfficiency), blank(l.JainIndex), worst(l), shares(l))
		if err != nil {
			return err
		}
	}
	return nil
}

func seconds(ms int64) string { return fmt.Sprintf("%.1f", float64(ms)/1000) }

// shares formats the most frequent refusals as percentages of all requests.
func shares(l *Line) string {
	names := make([]string, 0, len(l.Refused))
	for k := range l.Refused {
		names = append(names, k)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := l.Refused[names[i]], l.Refused[names[j]]
		return a > b || (a == b && names[i] < names[j])
	})
	names = names[:min(kindsShown, len(names))]
	for i, k := range names {
		names[i] = k + " " + percent(l.Refused[k], l.Offered)
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}
