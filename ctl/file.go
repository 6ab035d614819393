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
	return findingsError(path, findings)
}

// findingsError returns all findings as bad usage; nil if there are none.
func findingsError(path string, findings jsoncheck.Findings) error {
	if len(findings) == 0 {
		return nil
	}
	return usagef("%d findings in %s:\n%s", len(findings), path, strings.Join(findings.Lines(), "\n"))
}
