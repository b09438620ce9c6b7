package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"

	"gentianhead/fleet/request/admin"
)

const tableOutput = "table"

type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes the table, or value in the encoding that --output selects.
func (c *commands) print(value any, t table) error {
	if *c.output != tableOutput {
		return c.printEncoded(value)
	}
	writer := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

func (c *commands) printEncoded(value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err == nil && *c.output == "yaml" {
		encoded, err = yaml.JSONToYAML(encoded)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.stdout, strings.TrimSpace(string(encoded)))
	return err
}

// printAccepted writes one accepted change, and its warnings to standard error.
func (c *commands) printAccepted(accepted admin.AcceptedBody) error {
	for _, warning := range accepted.Warnings {
		fmt.Fprintf(c.stderr, "warning: %s/%s: %s\n", accepted.Kind, accepted.Name, warning)
	}
	if *c.output != tableOutput {
		return c.printItem(accepted)
	}
	verb := "accepted"
	if accepted.Deleted {
		verb = "deleted"
	}
	_, err := fmt.Fprintf(c.stdout, "%s/%s %s at revision %d\n", accepted.Kind, accepted.Name, verb, accepted.Revision)
	return err
}

// printItem writes one item of a sequence as a line of JSON or a YAML document.
func (c *commands) printItem(item any) error {
	if *c.output == "yaml" {
		fmt.Fprintln(c.stdout, "---")
		return c.printEncoded(item)
	}
	return json.NewEncoder(c.stdout).Encode(item)
}
