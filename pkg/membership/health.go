package membership

import "time"

// maxHealthScore bounds the health score, and so by how much a node extends its time-outs.
const maxHealthScore = 8

// health scores this node's own condition: 0 is healthy, and it is higher after signs that this
// node is slow or cut off. A higher score extends the time that this node gives others before it
// suspects them.
type health struct{ score int }

// degrade raises the score by the weight of a sign.
func (h *health) degrade(weight int) { h.score = min(h.score+weight, maxHealthScore) }

// improve lowers the score by one after a probe that was answered in time.
func (h *health) improve() { h.score = max(h.score-1, 0) }

// stretch returns a time-out multiplied by 1 + score.
func (h *health) stretch(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+h.score)
}
