package setup

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Columns of the tables in the settings reference.
const (
	columnKey = iota
	columnType
	columnDefault
	columnRange
	columnHelp
	columns
)

// rangePattern is the format of ranges in the settings reference.
var rangePattern = regexp.MustCompile(`^(\d+) to (\d+)$`)

// DiffPage compares the first table below a heading of the settings reference with the
// settings that newDefaults returns, a pointer to a struct with defaults, and returns the
// differences. With an outdated page, operators would set keys that no longer exist or rely
// on ranges that no longer apply.
func DiffPage(text, heading string, newDefaults func() any) []string {
	var diffs []string
	rows := parseTable(text, heading)
	for _, k := range Keys(newDefaults()) {
		row, ok := rows[k.Name]
		delete(rows, k.Name)
		if !ok {
			diffs = append(diffs, k.Name+": not on the page")
			continue
		}
		for column, want := range map[int]string{columnType: typeWord(k.Type), columnDefault: "`" + k.Default + "`"} {
			if row[column] != want {
				diffs = append(diffs, fmt.Sprintf("%s: the page has %s, the code %s", k.Name, row[column], want))
			}
		}
		if !strings.HasPrefix(row[columnHelp], k.Help) {
			diffs = append(diffs, fmt.Sprintf("%s: the page's meaning doesn't begin with %q", k.Name, k.Help))
		}
		diffs = append(diffs, checkRange(k, row[columnRange], newDefaults)...)
	}
	for name := range rows {
		diffs = append(diffs, name+": not in the code")
	}
	return diffs
}

// parseTable maps the keys in the table below a heading to their rows.
func parseTable(text, heading string) map[string][]string {
	rows := map[string][]string{}
	_, text, _ = strings.Cut(text, "\n"+heading+"\n")
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "#") {
			break
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if len(cells) != columns {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if name, ok := strings.CutPrefix(cells[columnKey], "`"); ok {
			rows[strings.TrimSuffix(name, "`")] = cells
		}
	}
	return rows
}

// typeWord returns the name of a Go type in the settings reference.
func typeWord(t string) string {
	switch t {
	case "string":
		return "text"
	case "int", "int64", "magno.Millis":
		return "integer"
	case "float64":
		return "number"
	}
	return "list"
}

// checkRange tests whether the bounds of a documented range are accepted and the values next
// to them rejected.
func checkRange(k Key, documented string, newDefaults func() any) []string {
	if word := typeWord(k.Type); word != "integer" && word != "number" {
		return nil
	}
	bounds := rangePattern.FindStringSubmatch(documented)
	if bounds == nil {
		return []string{fmt.Sprintf("%s: the page has %q for a range", k.Name, documented)}
	}
	low, _ := strconv.ParseInt(bounds[1], 10, 64)
	high, _ := strconv.ParseInt(bounds[2], 10, 64)
	var diffs []string
	for value, valid := range map[int64]bool{low - 1: false, low: true, high: true, high + 1: false} {
		err := Parse("page", fmt.Appendf(nil, "{%q: %d}", k.Name, value), newDefaults())
		if (err == nil) != valid {
			diffs = append(diffs, fmt.Sprintf("%s: the page has %s, the code says of %d: %v", k.Name, documented, value, err))
		}
	}
	return diffs
}
