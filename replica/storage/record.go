package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record consists of a header of 12 bytes (magic, length, CRC32C of length and
// payload; little endian) and the payload. Each write to the log is one record, so
// only the last record of a file can be incomplete after a crash.
const (
	headerSize  = 12
	recordMagic = 0x4c574c31 // "LWL1"
	// MaxPayloadBytes is the maximum size of the payload of a record.
	MaxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordSum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[4:8], castagnoli), castagnoli, payload)
}

// appendRecord appends a record with the payload to buf. A payload longer than
// MaxPayloadBytes is an error.
func appendRecord(buf, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayloadBytes {
		return nil, fmt.Errorf("storage: record of %d bytes exceeds the limit of %d bytes", len(payload), MaxPayloadBytes)
	}
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[:], recordMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:], recordSum(header[:], payload))
	return append(append(buf, header[:]...), payload...), nil
}

// nextRecord decodes the record at the start of data. It returns its payload and
// the size of the whole record; ok is false if the record is incomplete or its magic
// number, length or checksum is wrong.
func nextRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint32(data) != recordMagic {
		return nil, 0, false
	}
	length := int64(binary.LittleEndian.Uint32(data[4:]))
	if length > MaxPayloadBytes || length > int64(len(data)-headerSize) {
		return nil, 0, false
	}
	size = headerSize + int(length)
	payload = data[headerSize:size]
	return payload, size, binary.LittleEndian.Uint32(data[8:]) == recordSum(data[:headerSize], payload)
}

// CorruptError reports damage to a file that cannot result from a crash during a
// write. Offset is the position of the damage in bytes; 0 if it is not known.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// readRecords splits the data of a file into payloads and returns the length of
// the valid part in bytes. An invalid record that is followed by a valid one is
// corruption and returns a CorruptError. Otherwise it is an incomplete last write,
// which was never acknowledged, and the records before it are returned.
func readRecords(file string, data []byte) (payloads [][]byte, valid int64, err error) {
	at := 0
	for at < len(data) {
		payload, size, ok := nextRecord(data[at:])
		if !ok {
			if later, found := findRecord(data, at+1); found {
				return payloads, int64(at), &CorruptError{file, int64(at), fmt.Sprintf("invalid record, but a valid record follows at offset %d", later)}
			}
			break
		}
		payloads = append(payloads, payload)
		at += size
	}
	return payloads, int64(at), nil
}

// findRecord returns the offset of the first valid record at or after from.
func findRecord(data []byte, from int) (int, bool) {
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for from < len(data) {
		i := bytes.Index(data[from:], magic)
		if i < 0 {
			return 0, false
		}
		if _, _, ok := nextRecord(data[from+i:]); ok {
			return from + i, true
		}
		from += i + 1
	}
	return 0, false
}
