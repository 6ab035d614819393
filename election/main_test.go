package election

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

func mustMarshal(t *testing.T, message proto.Message) []byte {
	t.Helper()
	value, err := proto.Marshal(message)
	assert.NilError(t, err)
	return value
}
