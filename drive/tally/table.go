package tally

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// PrintTable writes lines as a text table.
func PrintTable(w io.Writer, lines []Line) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "deploy\tcase\tpolicy\tload\tcustomer\toffered\tadmit%\tgood%\tkept%\ttok/s\t"+
		"stall%\tmean\tp50\tp95\tp99\tfull p99\tfirst p95\tgap p95\tend p95\tbatch\tjain\tworst\trefused\t")
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.2g\t%s\t%d\t%s\t%s\t%s\t%.0f\t%s\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%s\t%s\t%s\t%s\t\n",
			l.Deploy, l.Case, l.Policy, l.Load, l.Customer, l.Offered,
			percent(l.Admitted, l.Offered), percent(l.InTime, l.Offered), percent(l.InTime, l.Admitted),
			l.Goodput, fmt.Sprintf("%.1f", 100*l.StalledShare), l.Stall.Mean, l.Stall.P50, l.Stall.P95, l.Stall.P99,
			l.StallWithRefused.P99, l.FirstToken.P95, float64(l.TokenGap.P95)/1000, l.Latency.P95, blank(l.BatchEfficiency), blank(l.JainIndex), worst(l), kinds(l.Refused))
	}
	return tw.Flush()
}

// WriteJSON writes lines as JSON, one object per line.
func WriteJSON(w io.Writer, lines []Line) error {
	enc := json.NewEncoder(w)
	for i := range lines {
		if err := enc.Encode(&lines[i]); err != nil {
			return err
		}
	}
	return nil
}

func percent(n, of int) string { return fmt.Sprintf("%.1f", 100*ratio(float64(n), float64(of))) }

func blank(x float64) string {
	if x == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", x)
}

func worst(l *Line) string {
	if l.WorstCustomer == "" {
		return "-"
	}
	return fmt.Sprintf("%s %.2f", l.WorstCustomer, l.WorstShare)
}

func kinds(refused map[string]int) string {
	names := make([]string, 0, len(refused))
	for k := range refused {
		names = append(names, k)
	}
	sort.Strings(names)
	for i, k := range names {
		names[i] = fmt.Sprintf("%s=%d", k, refused[k])
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}
