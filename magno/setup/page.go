package setup

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Columns of the settings reference.
const (
	columnKey = iota
	columnType
	columnDefault
	columnRange
	columnHelp
	columns
)

// span is the form of a range in the settings reference.
var span = regexp.MustCompile(`^(\d+) to (\d+)$`)

// Page compares the first table below a heading of the settings reference
// with the settings that fresh returns, a pointer to a struct with defaults,
// and returns what differs. Operators who trust a page that lags behind the
// code set keys that are gone or keep within ranges that no longer hold.
func DiffPage(text, heading string, fresh func() any) []string {
	var wrong []string
	rows := table(text, heading)
	for _, k := range Keys(fresh()) {
		row, ok := rows[k.Name]
		delete(rows, k.Name)
		if !ok {
			wrong = append(wrong, k.Name+": not on the page")
			continue
		}
		for column, want := range map[int]string{columnType: kind(k.Type), columnDefault: "`" + k.Default + "`"} {
			if row[column] != want {
				wrong = append(wrong, fmt.Sprintf("%s: the page has %s, the code %s", k.Name, row[column], want))
			}
		}
		if !strings.HasPrefix(row[columnHelp], k.Help) {
			wrong = append(wrong, fmt.Sprintf("%s: the page's meaning doesn't begin with %q", k.Name, k.Help))
		}
		wrong = append(wrong, ranges(k, row[columnRange], fresh)...)
	}
	for name := range rows {
		wrong = append(wrong, name+": not in the code")
	}
	return wrong
}

// table returns the rows below a heading by their key.
func table(text, heading string) map[string][]string {
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

// kind is the page's word for a type.
func kind(t string) string {
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

// ranges tries the ends of a stated range and what lies beyond them.
func ranges(k Key, stated string, fresh func() any) []string {
	if word := kind(k.Type); word != "integer" && word != "number" {
		return nil
	}
	ends := span.FindStringSubmatch(stated)
	if ends == nil {
		return []string{fmt.Sprintf("%s: the page has %q for a range", k.Name, stated)}
	}
	low, _ := strconv.ParseInt(ends[1], 10, 64)
	high, _ := strconv.ParseInt(ends[2], 10, 64)
	var wrong []string
	for value, sound := range map[int64]bool{low - 1: false, low: true, high: true, high + 1: false} {
		err := Parse("page", fmt.Appendf(nil, "{%q: %d}", k.Name, value), fresh())
		if (err == nil) != sound {
			wrong = append(wrong, fmt.Sprintf("%s: the page has %s, the code says of %d: %v", k.Name, stated, value, err))
		}
	}
	return wrong
}
