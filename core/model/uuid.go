package model

import "encoding/hex"

// uuidLen is the length of the text form of a UUID, in bytes.
const uuidLen = 36

// IssuedAt returns the time of issue encoded in a UUIDv7. It reports false if id
// is not a UUIDv7 in lower-case text form.
func IssuedAt(id RequestID) (Timestamp, bool) {
	if len(id) != uuidLen || id[8] != '-' || id[13] != '-' || id[18] != '-' || id[23] != '-' || id[14] != '7' {
		return 0, false
	}
	digits := id[:8] + id[9:13] + id[14:18] + id[19:23] + id[24:]
	for i := range len(digits) {
		if c := digits[i]; c >= 'A' && c <= 'F' {
			return 0, false
		}
	}
	var raw [16]byte
	if _, err := hex.Decode(raw[:], []byte(digits)); err != nil || raw[8]&0xc0 != 0x80 {
		return 0, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return Timestamp(ms), true
}
