package httpbackend

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bramblemast/bramblemast/pkg/backend"
)

// Field numbers of SubResult and Record in proto/backend.proto.
const (
	resultRecords  protowire.Number = 1
	resultMatches  protowire.Number = 2
	resultScoreSum protowire.Number = 3

	recordKey     protowire.Number = 1
	recordScore   protowire.Number = 2
	recordPayload protowire.Number = 3
)

// decodeResult reads a SubResult into response. The generated decoder makes
// two allocations for each record; this one makes three for all of them: the
// records share one copy of the body, which stays in memory as long as any of
// them does. TestDecodeAgreesWithGenerated holds the two together.
func decodeResult(body []byte, response *backend.Response) error {
	records, err := countRecords(body)
	if err != nil {
		return err
	}
	response.Records = make([]backend.Record, 0, records)
	text := string(body)
	var payloads []byte
	return eachField(body, func(f field) error {
		switch {
		case f.number == resultRecords && f.kind == protowire.BytesType:
			record, err := decodeRecord(body, text, f, &payloads)
			if err != nil {
				return err
			}
			response.Records = append(response.Records, record)
		case f.number == resultMatches && f.kind == protowire.VarintType:
			response.Matches = f.varint
		case f.number == resultScoreSum && f.kind == protowire.VarintType:
			response.ScoreSum = int64(f.varint)
		case f.number <= resultScoreSum:
			return errors.Errorf("result: field %d has wire type %d", f.number, f.kind)
		}
		return nil
	})
}

// countRecords returns the number of records in a SubResult.
func countRecords(body []byte) (int, error) {
	count := 0
	err := eachField(body, func(f field) error {
		if f.number == resultRecords {
			count++
		}
		return nil
	})
	return count, err
}

// decodeRecord reads the Record that a field of body holds. text is the copy of
// body that keys point into, payloads the one for payloads, made on first use.
func decodeRecord(body []byte, text string, record field, payloads *[]byte) (backend.Record, error) {
	var decoded backend.Record
	err := eachField(body[record.start:record.end], func(f field) error {
		start, end := record.start+f.start, record.start+f.end
		switch {
		case f.number == recordKey && f.kind == protowire.BytesType:
			decoded.Key = text[start:end]
		case f.number == recordScore && f.kind == protowire.VarintType:
			decoded.Score = int64(f.varint)
		case f.number == recordPayload && f.kind == protowire.BytesType:
			if *payloads == nil {
				*payloads = append([]byte(nil), body...)
			}
			decoded.Payload = (*payloads)[start:end:end]
		case f.number <= recordPayload:
			return errors.Errorf("record: field %d has wire type %d", f.number, f.kind)
		}
		return nil
	})
	return decoded, err
}

// field is one field of a message: a number, or the bounds of its bytes.
type field struct {
	number protowire.Number
	kind   protowire.Type
	varint uint64
	start  int
	end    int
}

// eachField calls visit for each field of a message, in order.
func eachField(message []byte, visit func(f field) error) error {
	for position := 0; position < len(message); {
		number, kind, length := protowire.ConsumeTag(message[position:])
		if length < 0 {
			return errors.Wrap(protowire.ParseError(length), "field tag")
		}
		position += length
		current := field{number: number, kind: kind}
		length = current.consume(message, position)
		if length < 0 {
			return errors.Wrapf(protowire.ParseError(length), "field %d", number)
		}
		position += length
		if err := visit(current); err != nil {
			return err
		}
	}
	return nil
}

// consume reads the value at position and returns its length, or a negative
// protowire error.
func (f *field) consume(message []byte, position int) int {
	switch f.kind {
	case protowire.VarintType:
		value, length := protowire.ConsumeVarint(message[position:])
		f.varint = value
		return length
	case protowire.BytesType:
		value, length := protowire.ConsumeBytes(message[position:])
		f.end = position + length
		f.start = f.end - len(value)
		return length
	default:
		return protowire.ConsumeFieldValue(f.number, f.kind, message[position:])
	}
}
