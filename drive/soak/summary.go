package soak

import (
	"fmt"
	"io"
	"sort"
)

// printSummary writes the summary of the run.
func (s *Soak) printSummary() {
	fmt.Fprintf(s.Out, "seed %d: %d requests, %d broken promises\n", s.Seed, len(s.sent), len(s.violations))
	printCounts(s.Out, "  requests:", s.kinds)
	printCounts(s.Out, "  faults:", s.faults)
	fmt.Fprintf(s.Out, "  long streams: %d of %d begin, %d of %d that are taken up go on, %d of two builds\n",
		s.streamed.begun, s.streamed.sent, s.streamed.goneOn, s.streamed.resumed, len(s.streamed.mixed))
	if s.largest > 0 {
		fmt.Fprintf(s.Out, "  largest entry beside answers without end: %.1f MB\n", float64(s.largest)/(1<<20))
	}
	for _, what := range s.violations {
		fmt.Fprintln(s.Out, "  BROKEN:", what)
	}
}

func printCounts(w io.Writer, title string, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprint(w, title)
	for _, name := range names {
		fmt.Fprintf(w, " %s %d;", name, counts[name])
	}
	fmt.Fprintln(w)
}
