package quota

// Refusal is why a node refused a request.
type Refusal int

// Reasons of refusals.
const (
	// NotRefused: the request was admitted.
	NotRefused Refusal = iota
	// BeyondShare: the tenant is at its limit, and the request is not within the share that
	// the coordinator told.
	BeyondShare
	// Unacknowledged: the node has admitted as much as it may before the coordinator has
	// counted it.
	Unacknowledged
	// InDoubt: a coordinator has fallen silent and none has answered since, and the node has
	// admitted as much as it may alone.
	InDoubt
	// BeyondEntitlement: no coordinator answers, and the node has admitted its part of the limit.
	BeyondEntitlement
	// ShareTooOld: a coordinator answers, but the share that it told, below 1, is older than maxShareAge,
	// and the node has admitted its part of the limit.
	ShareTooOld
	// JustStarted: no coordinator has answered since the start, and what an earlier process of the
	// node admitted in the window is not known.
	JustStarted
	// refusalCount is the number of the values above.
	refusalCount
)

// String returns the word for logs and messages; empty for NotRefused.
func (r Refusal) String() string {
	return [...]string{
		NotRefused: "", BeyondShare: "beyond_share", Unacknowledged: "unacknowledged", InDoubt: "in_doubt",
		BeyondEntitlement: "alone", ShareTooOld: "share_too_old", JustStarted: "just_started",
	}[r]
}

// Refusals returns all reasons.
func Refusals() []Refusal {
	return []Refusal{BeyondShare, Unacknowledged, InDoubt, BeyondEntitlement, ShareTooOld, JustStarted}
}
