package model

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes is the longest identifier, name or label from outside that enters the
// state, in bytes.
const MaxNameBytes = 1 << 10

// MaxCheckpointBytes is the longest checkpoint that enters the state, in bytes.
const MaxCheckpointBytes = 4 << 10

// ValidName reports whether an identifier, name or label from outside may enter the
// state. Log entries hold text as UTF-8 and cannot be decoded otherwise. A replacement
// character shows that a decoder has already lost the original bytes, so that two
// different names may have become equal. An empty name is valid.
func ValidName(s string) bool {
	return len(s) <= MaxNameBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, isUnreadable)
}

// ValidCheckpoint reports whether a checkpoint may enter the state.
func ValidCheckpoint(s string) bool {
	return len(s) <= MaxCheckpointBytes && utf8.ValidString(s) && !strings.ContainsRune(s, utf8.RuneError)
}

func isUnreadable(r rune) bool { return r == utf8.RuneError || unicode.IsControl(r) }
