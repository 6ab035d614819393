package shardlog

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// Format is the version of the encoding that this program writes. Decoding fails on newer versions.
const Format = 1

// valueKind is the type of a stored value. It prevents decoding a value as another type.
type valueKind byte

const (
	kindEntry valueKind = 'E'
	kindChunk valueKind = 'C'
	kindHead  valueKind = 'H'
)

// A value consists of magic, kind, format, CRC-32C over kind, format and body, and body.
var magic = []byte("SKL")

const (
	kindOffset     = 3
	formatOffset   = 4
	checksumOffset = 5
	headerSize     = 9
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError names the key whose value cannot be decoded. It matches ErrCorrupt.
type CorruptError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("key %s: %v: %s", e.Key, ErrCorrupt, e.Reason)
}

// Is reports whether target is ErrCorrupt.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

func corrupt(key, format string, args ...any) error {
	return &CorruptError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

func checksum(value []byte) uint32 {
	sum := crc32.Checksum(value[kindOffset:checksumOffset], castagnoli)
	return crc32.Update(sum, castagnoli, value[headerSize:])
}

func encode(kind valueKind, message proto.Message) ([]byte, error) {
	value := make([]byte, headerSize, headerSize+proto.Size(message))
	copy(value, magic)
	value[kindOffset] = byte(kind)
	value[formatOffset] = Format
	value, err := proto.MarshalOptions{}.MarshalAppend(value, message)
	if err != nil {
		return nil, eris.Wrap(err, "encode log value")
	}
	binary.BigEndian.PutUint32(value[checksumOffset:], checksum(value))
	return value, nil
}

func decode(kind valueKind, key string, value []byte, into proto.Message) error {
	if len(value) < headerSize || !bytes.HasPrefix(value, magic) {
		return corrupt(key, "value has no valid header")
	}
	if value[formatOffset] > Format {
		return corrupt(key, "format %d is newer than %d", value[formatOffset], Format)
	}
	if checksum(value) != binary.BigEndian.Uint32(value[checksumOffset:]) {
		return corrupt(key, "checksum does not match")
	}
	if valueKind(value[kindOffset]) != kind {
		return corrupt(key, "value is of kind %q, not %q", value[kindOffset], byte(kind))
	}
	if err := proto.Unmarshal(value[headerSize:], into); err != nil {
		return corrupt(key, "decode body: %v", err)
	}
	return nil
}
