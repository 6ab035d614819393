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

// Change is one difference between two bundles. An empty From or To means that the value is absent in that bundle.
type Change struct {
	Path string `json:"path"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Diff returns the differences between two bundles, in the order of the schema. List entries are matched by name.
func Diff(from, to *siskinv1.Bundle) []Change {
	d := &differ{}
	d.compareMessages("$", from.ProtoReflect(), to.ProtoReflect())
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(path, from, to string) {
	if from != to {
		d.changes = append(d.changes, Change{Path: path, From: from, To: to})
	}
}

func (d *differ) compareMessages(path string, from, to protoreflect.Message) {
	fields := to.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		fieldPath := path + "." + string(field.Name())
		switch {
		case field.IsList() && field.Message() != nil:
			d.compareLists(fieldPath, from.Get(field).List(), to.Get(field).List())
		case field.Message() != nil:
			d.compareMessages(fieldPath, from.Get(field).Message(), to.Get(field).Message())
		default:
			d.add(fieldPath, fieldText(from, field), fieldText(to, field))
		}
	}
}

// compareLists compares lists of named messages.
func (d *differ) compareLists(path string, from, to protoreflect.List) {
	earlier, later := byName(from), byName(to)
	for _, name := range earlier.order {
		entryPath := fmt.Sprintf("%s[%q]", path, name)
		if other, ok := later.entries[name]; ok {
			d.compareMessages(entryPath, earlier.entries[name], other)
			continue
		}
		d.add(entryPath, compactJSON(earlier.entries[name]), "")
	}
	for _, name := range later.order {
		if _, ok := earlier.entries[name]; !ok {
			d.add(fmt.Sprintf("%s[%q]", path, name), "", compactJSON(later.entries[name]))
		}
	}
	// The content hash covers the order, so a changed order is reported as a difference too.
	d.add(path+" (order)", earlier.commonNames(later), later.commonNames(earlier))
}

type namedList struct {
	order   []string
	entries map[string]protoreflect.Message
}

func byName(list protoreflect.List) namedList {
	l := namedList{entries: map[string]protoreflect.Message{}}
	for i := range list.Len() {
		entry := list.Get(i).Message()
		name := entry.Get(entry.Descriptor().Fields().ByName("name")).String()
		l.order = append(l.order, name)
		l.entries[name] = entry
	}
	return l
}

// commonNames returns the names that are in other too, in the order of l.
func (l namedList) commonNames(other namedList) string {
	var names []string
	for _, name := range l.order {
		if _, ok := other.entries[name]; ok {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

func fieldText(m protoreflect.Message, field protoreflect.FieldDescriptor) string {
	if field.Kind() == protoreflect.EnumKind {
		if value := field.Enum().Values().ByNumber(m.Get(field).Enum()); value != nil {
			return string(value.Name())
		}
	}
	return m.Get(field).String()
}

// compactJSON returns a message as JSON without white space, which protojson varies on purpose.
func compactJSON(m protoreflect.Message) string {
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
