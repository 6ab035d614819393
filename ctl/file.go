package ctl

import (
	"os"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// readMessage reads a JSON file into a message. Unknown fields and wrong types are findings.
func readMessage(path string, into proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return usagef("read %s: %v", path, err)
	}
	if err := decodeStrict(text, into); err != nil {
		return usagef("%s: %v", path, err)
	}
	return nil
}

// decodeStrict decodes JSON and refuses unknown fields.
func decodeStrict(text []byte, into proto.Message) error { return protojson.Unmarshal(text, into) }
