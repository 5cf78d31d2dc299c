package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// printJSON prints a message as JSON with the field names of its proto file.
func printJSON(out io.Writer, message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitDefaultValues: true}.Marshal(message)
	if err != nil {
		return errors.WithStack(err)
	}
	return printLine(out, string(text))
}

func printLine(out io.Writer, text string) error {
	_, err := fmt.Fprintln(out, text)
	return errors.WithStack(err)
}

// printTable prints rows of tab-separated cells in aligned columns.
func printTable(out io.Writer, rows []string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.Join(rows, "\n")); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(w.Flush())
}

// formatFaults formats each fault as its problem and, on a second line, its
// remedy.
func formatFaults(faults []*pb.Fault) string {
	var text strings.Builder
	for _, f := range faults {
		location := f.GetObject()
		if f.GetField() != "" {
			location += " " + f.GetField()
		}
		fmt.Fprintf(&text, "  %s: %s\n", location, f.GetProblem())
		if f.GetRemedy() != "" {
			fmt.Fprintf(&text, "      -> %s\n", f.GetRemedy())
		}
	}
	return text.String()
}

func formatChanges(changes []*pb.Change) string {
	var text strings.Builder
	for _, c := range changes {
		location := c.GetObject()
		if c.GetField() != "" {
			location += " " + c.GetField()
		}
		fmt.Fprintf(&text, "  %s: %s -> %s\n", location, quoteIfEmpty(c.GetBefore()), quoteIfEmpty(c.GetAfter()))
	}
	return text.String()
}

func quoteIfEmpty(value string) string {
	if value == "" {
		return `""`
	}
	return value
}
