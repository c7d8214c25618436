package session

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// zeroTime is the zero time in JSON; a table shows "-" for it.
const zeroTime = "0001-01-01T00:00:00Z"

// PrintTables prints a view that is encoded as JSON: scalar fields as name and value,
// lists of objects as tables, other lists one value a line. It has no code for
// particular views, so it also shows fields that only a newer server sends. It fails
// if data is not valid JSON or w cannot be written.
func PrintTables(w io.Writer, data []byte) error {
	root, err := parseTree(data)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if root.kind == 'l' {
		printList(out, "", root)
	} else {
		printObject(out, root)
	}
	return out.Flush()
}

func printObject(out io.Writer, n node) {
	for _, key := range n.keys {
		if v := n.fields[key]; v.kind != 'l' {
			fmt.Fprintf(out, "%s:\t%s\n", title(key), inline(v))
		}
	}
	for _, key := range n.keys {
		if v := n.fields[key]; v.kind == 'l' {
			printList(out, title(key), v)
		}
	}
}

func printList(out io.Writer, name string, n node) {
	if name != "" {
		fmt.Fprintf(out, "\n%s: %s\n", name, count(len(n.list)))
	}
	if len(n.list) == 0 {
		return
	}
	if n.list[0].kind != 'o' {
		for _, v := range n.list {
			fmt.Fprintf(out, "  %s\n", inline(v))
		}
		return
	}
	keys := n.list[0].keys
	for _, key := range keys {
		fmt.Fprintf(out, "%s\t", strings.ToUpper(title(key)))
	}
	fmt.Fprintln(out)
	for _, row := range n.list {
		for _, key := range keys {
			fmt.Fprintf(out, "%s\t", inline(row.fields[key]))
		}
		fmt.Fprintln(out)
	}
}

func count(n int) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprint(n)
}

func title(key string) string { return strings.ReplaceAll(key, "_", " ") }

// inline returns a value as text for one line or table cell.
func inline(n node) string {
	switch n.kind {
	case 'l':
		parts := make([]string, len(n.list))
		for i, v := range n.list {
			parts[i] = inline(v)
		}
		return strings.Join(parts, ", ")
	case 'o':
		if len(n.keys) == 0 {
			return "none"
		}
		parts := make([]string, len(n.keys))
		for i, key := range n.keys {
			parts[i] = title(key) + " " + inline(n.fields[key])
		}
		return strings.Join(parts, ", ")
	case 's':
		if n.scalar == nil || n.scalar == zeroTime {
			return "-"
		}
		return fmt.Sprint(n.scalar)
	}
	return ""
}
