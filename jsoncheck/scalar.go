package jsoncheck

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// scalar decodes one value that is neither a message nor a list.
func (d *decoder) scalar(path string, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	token := d.token()
	value, problem := convert(token, field)
	if problem != "" {
		d.findings.Add(path, "%s", problem)
		d.skipRest(token)
		return protoreflect.Value{}, false
	}
	return value, true
}

// convert returns the value of a token, or the message of a finding if the token does not fit the field.
func convert(token json.Token, field protoreflect.FieldDescriptor) (protoreflect.Value, string) {
	switch field.Kind() {
	case protoreflect.BoolKind:
		if value, ok := token.(bool); ok {
			return protoreflect.ValueOfBool(value), ""
		}
		return wrongType(token, "true or false")
	case protoreflect.StringKind:
		return convertString(token)
	case protoreflect.BytesKind:
		return convertBytes(token)
	case protoreflect.EnumKind:
		return convertEnum(token, field.Enum())
	case protoreflect.FloatKind, protoreflect.DoubleKind:
		return convertFloat(token, field.Kind())
	default:
		return convertInteger(token, field.Kind())
	}
}

func wrongType(token json.Token, wanted string) (protoreflect.Value, string) {
	if token == nil {
		return protoreflect.Value{}, "is null; leave the field out instead"
	}
	return protoreflect.Value{}, "is " + describeToken(token) + ", not " + wanted
}

func convertString(token json.Token) (protoreflect.Value, string) {
	text, ok := token.(string)
	if !ok {
		return wrongType(token, "a string")
	}
	// The JSON decoder replaces an unpaired surrogate with U+FFFD, so the stored string would differ from the input.
	if strings.ContainsRune(text, utf8.RuneError) {
		return protoreflect.Value{}, "contains a character that is not valid Unicode"
	}
	return protoreflect.ValueOfString(text), ""
}

func convertBytes(token json.Token) (protoreflect.Value, string) {
	text, ok := token.(string)
	if !ok {
		return wrongType(token, "a base64 string")
	}
	// Package base64 ignores line breaks when decoding, so one value would have several encodings.
	if strings.ContainsAny(text, "\r\n") {
		return protoreflect.Value{}, "is not standard base64"
	}
	value, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil {
		return protoreflect.Value{}, "is not standard base64"
	}
	return protoreflect.ValueOfBytes(value), ""
}

func convertEnum(token json.Token, enum protoreflect.EnumDescriptor) (protoreflect.Value, string) {
	text, ok := token.(string)
	if !ok {
		return wrongType(token, "one of "+strings.Join(shortNames(enum), ", "))
	}
	values := enum.Values()
	for i := range values.Len() {
		value := values.Get(i)
		if text == string(value.Name()) || text == shortName(value) {
			return protoreflect.ValueOfEnum(value.Number()), ""
		}
	}
	return protoreflect.Value{}, "unknown value " + shorten(text) + ", not one of " + strings.Join(shortNames(enum), ", ")
}

// shortName returns the name of an enum value without the prefix of its type, in lower case: WORK_KIND_BATCH of WorkKind
// becomes batch.
func shortName(value protoreflect.EnumValueDescriptor) string {
	enum, _ := value.Parent().(protoreflect.EnumDescriptor)
	prefix := upperSnake(string(enum.Name())) + "_"
	return strings.ToLower(strings.TrimPrefix(string(value.Name()), prefix))
}

func shortNames(enum protoreflect.EnumDescriptor) []string {
	var names []string
	values := enum.Values()
	for i := range values.Len() {
		if value := values.Get(i); value.Number() != 0 {
			names = append(names, shortName(value))
		}
	}
	return names
}

func upperSnake(name string) string {
	var out strings.Builder
	for i, c := range name {
		if i > 0 && c >= 'A' && c <= 'Z' {
			out.WriteByte('_')
		}
		out.WriteRune(c)
	}
	return strings.ToUpper(out.String())
}

func convertFloat(token json.Token, kind protoreflect.Kind) (protoreflect.Value, string) {
	number, ok := token.(json.Number)
	if !ok {
		return wrongType(token, "a number")
	}
	value, err := strconv.ParseFloat(string(number), 64)
	if err != nil || kind == protoreflect.FloatKind && math.Abs(value) > math.MaxFloat32 {
		return protoreflect.Value{}, "number " + shorten(string(number)) + " is out of range"
	}
	if kind == protoreflect.FloatKind {
		return protoreflect.ValueOfFloat32(float32(value)), ""
	}
	return protoreflect.ValueOfFloat64(value), ""
}

func convertInteger(token json.Token, kind protoreflect.Kind) (protoreflect.Value, string) {
	var digits string
	switch t := token.(type) {
	case json.Number:
		digits = string(t)
	case string:
		digits = t
	default:
		return wrongType(token, "an integer")
	}
	if !isInteger(digits) {
		return protoreflect.Value{}, shorten(digits) + " is not an integer"
	}
	value, err := parseInteger(digits, kind)
	if errors.Is(err, strconv.ErrRange) || errors.Is(err, strconv.ErrSyntax) {
		return protoreflect.Value{}, "number " + shorten(digits) + " is out of range for " + kind.String()
	}
	return value, ""
}

// isInteger reports whether text is a decimal integer as in JSON: with an optional minus sign and without leading zeros.
func isInteger(text string) bool {
	digits := strings.TrimPrefix(text, "-")
	if digits == "" || len(digits) > 1 && digits[0] == '0' {
		return false
	}
	return strings.Trim(digits, "0123456789") == ""
}

func parseInteger(digits string, kind protoreflect.Kind) (protoreflect.Value, error) {
	switch kind {
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		value, err := strconv.ParseInt(digits, 10, 32)
		return protoreflect.ValueOfInt32(int32(value)), err
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		value, err := strconv.ParseUint(digits, 10, 32)
		return protoreflect.ValueOfUint32(uint32(value)), err
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		value, err := strconv.ParseUint(digits, 10, 64)
		return protoreflect.ValueOfUint64(value), err
	default:
		value, err := strconv.ParseInt(digits, 10, 64)
		return protoreflect.ValueOfInt64(value), err
	}
}
