package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a removed key that stops working without a log line.
func TestRemovedKeysAreCountedByTeam(t *testing.T) {
	before := New(1, nil, []Team{{Name: "a", Keys: []string{"a1", "a2", "moved"}}, {Name: "b", Keys: []string{"b1"}}}, nil, Limits{})
	after := New(2, nil, []Team{{Name: "a", Keys: []string{"a2", "a3"}}, {Name: "c", Keys: []string{"moved"}}}, nil, Limits{})
	assert.DeepEqual(t, before.RemovedKeys(after), map[string]int{"a": 2, "b": 1})
	assert.Equal(t, len(after.RemovedKeys(after)), 0)
}
