// Package gather merges the answers of shards: each is a list of fixed-size
// records in no order, and the merged answer holds the greatest of them.
package gather

import (
	"bytes"
	"slices"
)

// RecordSize is the size of one record, in bytes.
const RecordSize = 16

// record is one record; records compare byte by byte.
type record [RecordSize]byte

// Greatest returns the greatest records of all bodies, greatest first and at
// most limit of them, one after the other. Equal records all count. A rest of
// a body that is shorter than a record is left out.
func Greatest(bodies [][]byte, limit int) []byte {
	total := 0
	for _, body := range bodies {
		total += len(body) / RecordSize
	}
	records := make([]record, 0, total)
	for _, body := range bodies {
		for len(body) >= RecordSize {
			records = append(records, record(body[:RecordSize]))
			body = body[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b record) int { return bytes.Compare(b[:], a[:]) })
	records = records[:min(limit, len(records))]
	merged := make([]byte, 0, len(records)*RecordSize)
	for index := range records {
		merged = append(merged, records[index][:]...)
	}
	return merged
}
