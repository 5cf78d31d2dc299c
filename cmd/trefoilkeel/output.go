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

// printJSON writes a message as JSON with the names of its proto file.
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

// printTable writes rows of tab-separated cells in columns.
func printTable(out io.Writer, rows []string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.Join(rows, "\n")); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(w.Flush())
}

// faultLines writes each fault in two lines: what is wrong, what to do.
func faultLines(faults []*pb.Fault) string {
	var text strings.Builder
	for _, f := range faults {
		place := f.GetObject()
		if f.GetField() != "" {
			place += " " + f.GetField()
		}
		fmt.Fprintf(&text, "  %s: %s\n", place, f.GetProblem())
		if f.GetRemedy() != "" {
			fmt.Fprintf(&text, "      -> %s\n", f.GetRemedy())
		}
	}
	return text.String()
}

func changeLines(changes []*pb.Change) string {
	var text strings.Builder
	for _, c := range changes {
		place := c.GetObject()
		if c.GetField() != "" {
			place += " " + c.GetField()
		}
		fmt.Fprintf(&text, "  %s: %s -> %s\n", place, shown(c.GetBefore()), shown(c.GetAfter()))
	}
	return text.String()
}

func shown(value string) string {
	if value == "" {
		return `""`
	}
	return value
}
