package duty

import (
	"encoding/binary"
	"maps"
	"slices"
)

// EncodeCounts encodes the requests of a window by workspace. Equal counts have equal bytes.
func EncodeCounts(counts map[string]uint64) []byte {
	b := binary.AppendUvarint(nil, uint64(len(counts)))
	for _, workspace := range slices.Sorted(maps.Keys(counts)) {
		b = append(binary.AppendUvarint(b, uint64(len(workspace))), workspace...)
		b = binary.AppendUvarint(b, counts[workspace])
	}
	return b
}

// DecodeCounts reverses EncodeCounts; ok is false if the bytes are not of EncodeCounts.
func DecodeCounts(b []byte) (counts map[string]uint64, ok bool) {
	n, b, ok := cutUvarint(b)
	if !ok || n > uint64(len(b)) {
		return nil, false
	}
	counts = make(map[string]uint64, n)
	last := ""
	for i := range n {
		var size, count uint64
		if size, b, ok = cutUvarint(b); !ok || size > uint64(len(b)) {
			return nil, false
		}
		workspace := string(b[:size])
		if count, b, ok = cutUvarint(b[size:]); !ok || i > 0 && workspace <= last {
			return nil, false
		}
		counts[workspace], last = count, workspace
	}
	return counts, len(b) == 0
}

// cutUvarint decodes a number in its shortest form and returns the rest.
func cutUvarint(b []byte) (n uint64, rest []byte, ok bool) {
	n, size := binary.Uvarint(b)
	if size <= 0 || size > 1 && b[size-1] == 0 {
		return 0, nil, false
	}
	return n, b[size:], true
}
