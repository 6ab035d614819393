// Package jsoncheck decodes JSON into protobuf messages and reports every error in the input with its JSON path.
//
// It is stricter than the JSON mapping of protobuf. Field names are the snake case names of the schema. Unknown fields,
// duplicate keys and null are rejected. Integers are JSON integers, or decimal strings as the protobuf JSON mapping writes
// 64-bit integers. Bytes are standard base64. An enum value is its full name ("WORK_KIND_BATCH") or its name without the
// prefix of the enum type in lower case ("batch"); enum numbers are rejected.
package jsoncheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// MaxDepth is the greatest allowed nesting depth of objects and arrays. The deepest message of the schema has 4 levels.
const MaxDepth = 32

// ErrUnsupported means that the message type uses a feature that this package can't decode, such as a map.
var ErrUnsupported = eris.New("message type is not supported by jsoncheck")

// Decode replaces the content of into with the JSON document in data. It returns every error in the document as a finding;
// if there is any, into is left empty. The returned error concerns only the message type, never the document.
func Decode(data []byte, into proto.Message) (Findings, error) {
	findings, err := DecodePartial(data, into)
	if len(findings) > 0 {
		proto.Reset(into)
	}
	return findings, err
}

// DecodePartial is like Decode, but keeps the valid fields of a document with findings, so that checks of the content
// can add their own findings. Such a message may only be used for these checks.
func DecodePartial(data []byte, into proto.Message) (Findings, error) {
	message := into.ProtoReflect()
	proto.Reset(into)
	if err := checkSupported(message.Descriptor(), map[protoreflect.FullName]bool{}); err != nil {
		return nil, err
	}
	d := &decoder{}
	if !d.checkSyntax(data) {
		return d.findings, nil
	}
	d.input = json.NewDecoder(bytes.NewReader(data))
	d.input.UseNumber()
	d.message("$", message)
	return d.findings, nil
}

func checkSupported(descriptor protoreflect.MessageDescriptor, seen map[protoreflect.FullName]bool) error {
	if seen[descriptor.FullName()] {
		return nil
	}
	seen[descriptor.FullName()] = true
	fields := descriptor.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsMap() || field.ContainingOneof() != nil || field.Kind() == protoreflect.GroupKind {
			return eris.Wrapf(ErrUnsupported, "field %s", field.FullName())
		}
		if field.Message() == nil {
			continue
		}
		if err := checkSupported(field.Message(), seen); err != nil {
			return err
		}
	}
	return nil
}

// decoder reads the tokens of one document. Its syntax has been checked, so reading a token can't fail.
type decoder struct {
	input    *json.Decoder
	findings Findings
}

// checkSyntax reports whether a document is valid JSON within MaxDepth. If it is not, checkSyntax adds a finding.
func (d *decoder) checkSyntax(data []byte) bool {
	if !utf8.Valid(data) {
		d.findings.Add("$", "document is not valid UTF-8")
		return false
	}
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil && nestingDepth(data) > MaxDepth {
		d.findings.Add("$", "nested deeper than %d levels", MaxDepth)
		return false
	}
	if err == nil {
		return true
	}
	var syntax *json.SyntaxError
	switch {
	case len(bytes.TrimSpace(data)) == 0:
		d.findings.Add("$", "document is empty")
	case errors.As(err, &syntax) && strings.Contains(err.Error(), "after top-level value"):
		line, column := position(data, syntax.Offset)
		d.findings.Add("$", "trailing data after the document at line %d, column %d", line, column)
	case errors.As(err, &syntax):
		line, column := position(data, syntax.Offset)
		d.findings.Add("$", "not valid JSON at line %d, column %d: %v", line, column, err)
	default:
		d.findings.Add("$", "not valid JSON: %v", err)
	}
	return false
}

// nestingDepth returns the nesting depth of objects and arrays in a document whose syntax is valid.
func nestingDepth(data []byte) int {
	depth, deepest, inString := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}

// position returns the line and column of a syntax error. The offset counts the bytes up to and including the invalid one.
func position(data []byte, offset int64) (line, column int) {
	before := data[:max(0, min(int(offset)-1, len(data)))]
	line = 1 + bytes.Count(before, []byte{'\n'})
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}

func (d *decoder) token() json.Token {
	token, err := d.input.Token()
	if err != nil {
		return nil
	}
	return token
}

// message decodes an object. Its recursion is bounded by MaxDepth, which has been checked before.
func (d *decoder) message(path string, into protoreflect.Message) {
	start := d.token()
	if start != json.Delim('{') {
		d.findings.Add(path, "is %s, not an object", describeToken(start))
		d.skipRest(start)
		return
	}
	seen := map[string]bool{}
	for d.input.More() {
		name, _ := d.token().(string)
		fieldPath := Child(path, name)
		if seen[name] {
			d.findings.Add(fieldPath, "duplicate key")
		}
		seen[name] = true
		field := into.Descriptor().Fields().ByName(protoreflect.Name(name))
		if field == nil {
			d.unknownField(fieldPath, name, into.Descriptor())
			continue
		}
		d.field(fieldPath, into, field)
	}
	d.token()
}

func (d *decoder) unknownField(path, name string, descriptor protoreflect.MessageDescriptor) {
	if known := descriptor.Fields().ByJSONName(name); known != nil {
		d.findings.Add(path, "unknown field; the name is %s", known.Name())
	} else {
		d.findings.Add(path, "unknown field")
	}
	d.skipRest(d.token())
}

func (d *decoder) field(path string, into protoreflect.Message, field protoreflect.FieldDescriptor) {
	switch {
	case field.IsList():
		d.list(path, into, field)
	case field.Message() != nil:
		value := into.NewField(field)
		d.message(path, value.Message())
		into.Set(field, value)
	default:
		if value, ok := d.scalar(path, field); ok {
			into.Set(field, value)
		}
	}
}

func (d *decoder) list(path string, into protoreflect.Message, field protoreflect.FieldDescriptor) {
	start := d.token()
	if start != json.Delim('[') {
		d.findings.Add(path, "is %s, not a list", describeToken(start))
		d.skipRest(start)
		return
	}
	list := into.NewField(field).List()
	for i := 0; d.input.More(); i++ {
		elementPath := Index(path, i)
		if field.Message() != nil {
			element := list.NewElement()
			d.message(elementPath, element.Message())
			list.Append(element)
			continue
		}
		if value, ok := d.scalar(elementPath, field); ok {
			list.Append(value)
		}
	}
	d.token()
	into.Set(field, protoreflect.ValueOfList(list))
}

// skipRest skips the rest of a value whose first token was start.
func (d *decoder) skipRest(start json.Token) {
	if start != json.Delim('{') && start != json.Delim('[') {
		return
	}
	for depth := 1; depth > 0; {
		switch d.token() {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
}

func describeToken(token json.Token) string {
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "a boolean"
	default:
		return "null"
	}
}
