package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// result is what a command prints: one JSON value, or a table.
type result struct {
	json   any
	header []string
	rows   [][]string
}

// message returns a protobuf message as a JSON value with the field names of the schema.
func message(m proto.Message) (json.RawMessage, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	return text, eris.Wrap(err, "encode output")
}

func messages[M proto.Message](list []M) ([]json.RawMessage, error) {
	texts := make([]json.RawMessage, 0, len(list))
	for _, m := range list {
		text, err := message(m)
		if err != nil {
			return nil, err
		}
		texts = append(texts, text)
	}
	return texts, nil
}

func (a *App) print(cmd *cli.Command, output result) error {
	if cmd.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(a.Out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(output.json), "write output")
	}
	table := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(output.header, "\t"))
	for _, row := range output.rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return eris.Wrap(table.Flush(), "write output")
}

// progressPrinter writes a line about a long wait to the error output if it differs from the previous one.
type progressPrinter struct {
	app  *App
	last string
}

func (p *progressPrinter) show(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if line == p.last {
		return
	}
	p.last = line
	_, _ = fmt.Fprintln(p.app.Err, line)
}

func cell(value any) string { return fmt.Sprint(value) }
