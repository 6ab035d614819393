package ctl

import (
	"os"
	"strings"

	"google.golang.org/protobuf/proto"

	"siskinstack.example/siskinstack/jsoncheck"
)

// readMessage reads a JSON file into a message. It reports all findings, one a line.
func readMessage(path string, into proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return usagef("read %s: %v", path, err)
	}
	findings, err := jsoncheck.Decode(text, into)
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return usagef("%d findings in %s:\n%s", len(findings), path, strings.Join(findings.Lines(), "\n"))
	}
	return nil
}
