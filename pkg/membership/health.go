package membership

import "time"

// maxHealthScore bounds how much slower than its peers a node may think it is.
const maxHealthScore = 8

// health is a node's doubt about itself: 0 if all is well, higher after signs
// that the node itself is slow or cut off. It stretches the time that the node
// gives others before it accuses them.
type health struct{ score int }

// worse raises the score by the weight of a sign.
func (h *health) degrade(weight int) { h.score = min(h.score+weight, maxHealthScore) }

// better lowers the score after a probe that was answered in time.
func (h *health) improve() { h.score = max(h.score-1, 0) }

// stretch returns a time-out as it applies at the present score.
func (h *health) stretch(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+h.score)
}
