package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// table holds rows of cells that are printed in aligned columns. The first row holds the titles.
type table struct{ rows [][]string }

func newTable(titles ...string) *table { return &table{rows: [][]string{titles}} }

// add appends a row. It shows an empty cell as a dash so that scripts can split a line into columns by white space.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

func (t *table) print(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// formatList formats the version of a worker list as token.sequence.
func formatList(token, sequence uint64) string { return fmt.Sprintf("%d.%d", token, sequence) }
