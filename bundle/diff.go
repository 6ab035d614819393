package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Change is one difference between two bundles. An empty side means that the value is absent there.
type Change struct {
	Path string `json:"path"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Diff returns the differences between two bundles, in the order of the schema. List entries are matched by name.
func Diff(from, to *siskinv1.Bundle) []Change {
	d := &differ{}
	d.messages("$", from.ProtoReflect(), to.ProtoReflect())
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(path, from, to string) {
	if from != to {
		d.changes = append(d.changes, Change{Path: path, From: from, To: to})
	}
}

func (d *differ) messages(path string, from, to protoreflect.Message) {
	fields := to.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		at := path + "." + string(field.Name())
		switch {
		case field.IsList() && field.Message() != nil:
			d.lists(at, from.Get(field).List(), to.Get(field).List())
		case field.Message() != nil:
			d.messages(at, from.Get(field).Message(), to.Get(field).Message())
		default:
			d.add(at, text(from, field), text(to, field))
		}
	}
}

// lists compares lists of named messages.
func (d *differ) lists(path string, from, to protoreflect.List) {
	earlier, later := byName(from), byName(to)
	for _, name := range earlier.order {
		at := fmt.Sprintf("%s[%q]", path, name)
		if other, ok := later.entries[name]; ok {
			d.messages(at, earlier.entries[name], other)
			continue
		}
		d.add(at, compact(earlier.entries[name]), "")
	}
	for _, name := range later.order {
		if _, ok := earlier.entries[name]; !ok {
			d.add(fmt.Sprintf("%s[%q]", path, name), "", compact(later.entries[name]))
		}
	}
	// The content hash covers the order, so a changed order must show as a difference too.
	d.add(path+" (order)", earlier.common(later), later.common(earlier))
}

type named struct {
	order   []string
	entries map[string]protoreflect.Message
}

func byName(list protoreflect.List) named {
	n := named{entries: map[string]protoreflect.Message{}}
	for i := range list.Len() {
		entry := list.Get(i).Message()
		name := entry.Get(entry.Descriptor().Fields().ByName("name")).String()
		n.order = append(n.order, name)
		n.entries[name] = entry
	}
	return n
}

// common returns the names that other has too, in the order of n.
func (n named) common(other named) string {
	var common []string
	for _, name := range n.order {
		if _, ok := other.entries[name]; ok {
			common = append(common, name)
		}
	}
	return strings.Join(common, ", ")
}

func text(m protoreflect.Message, field protoreflect.FieldDescriptor) string {
	if field.Kind() == protoreflect.EnumKind {
		if value := field.Enum().Values().ByNumber(m.Get(field).Enum()); value != nil {
			return string(value.Name())
		}
	}
	return m.Get(field).String()
}

// compact returns a message as JSON without the spaces that protojson varies on purpose.
func compact(m protoreflect.Message) string {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m.Interface())
	if err != nil {
		return err.Error()
	}
	var out bytes.Buffer
	if err := json.Compact(&out, encoded); err != nil {
		return err.Error()
	}
	return out.String()
}
