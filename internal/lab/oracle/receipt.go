package oracle

import (
	"bytes"
	"encoding/json"

	"github.com/bramblemast/bramblemast/api"
)

// receipt checks the answer to a not-repeatable request: one record with the
// caller's own idempotency key and payload, whose score is the number of times
// that the key ran at the server.
func (c *check) receipt(answer *api.Answer) {
	if len(answer.Records) != 1 {
		c.report(KindWrongRecords, answer, "%d records in a receipt, want 1", len(answer.Records))
		return
	}
	record := answer.Records[0]
	if record.Key != c.exchange.Request.IdempotencyKey || !sameJSON(record.Payload, c.exchange.Request.Body.Payload) {
		c.report(KindWrongRequest, answer, "receipt of key %s with payload %s", record.Key, record.Payload)
	}
	if record.Score != 1 {
		c.report(KindRanTwice, answer, "the receipt counts %d runs", record.Score)
	}
	if answer.Matches != 1 || answer.ScoreSum != record.Score {
		c.report(KindWrongTotals, answer, "matches %d and score sum %d in a receipt", answer.Matches, answer.ScoreSum)
	}
}

// sameJSON compares two documents apart from white space.
func sameJSON(left, right json.RawMessage) bool {
	var compactLeft, compactRight bytes.Buffer
	if json.Compact(&compactLeft, left) != nil || json.Compact(&compactRight, right) != nil {
		return false
	}
	return bytes.Equal(compactLeft.Bytes(), compactRight.Bytes())
}
