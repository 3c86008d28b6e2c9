package quota

// Refusal is why a node refused a request.
type Refusal int

// Reasons for refusing a request.
const (
	// NotRefused means that the request was admitted.
	NotRefused Refusal = iota
	// BeyondShare means that the tenant is at its limit and the request is not in the share that
	// the coordinator set.
	BeyondShare
	// Unacknowledged means that the node has admitted as much as it may before a coordinator has
	// counted it.
	Unacknowledged
	// InDoubt means that a coordinator stopped answering, none has answered since, and the node has
	// admitted as much as it may while isolated.
	InDoubt
	// BeyondEntitlement means that no coordinator answers and the node has admitted its part of the
	// limit.
	BeyondEntitlement
	// ShareTooOld means that a coordinator answers, but its share, below 1, is older than
	// maxShareAge, and the node has admitted its part of the limit.
	ShareTooOld
	// JustStarted means that no coordinator has answered since the process started, and that it is
	// unknown what an earlier process of the node admitted in the window.
	JustStarted
	// refusalCount is the number of the values above.
	refusalCount
)

// String returns the name used in logs and messages; empty for NotRefused.
func (r Refusal) String() string {
	return [...]string{
		NotRefused: "", BeyondShare: "beyond_share", Unacknowledged: "unacknowledged", InDoubt: "in_doubt",
		BeyondEntitlement: "alone", ShareTooOld: "share_too_old", JustStarted: "just_started",
	}[r]
}

// Refusals returns all reasons except NotRefused.
func Refusals() []Refusal {
	return []Refusal{BeyondShare, Unacknowledged, InDoubt, BeyondEntitlement, ShareTooOld, JustStarted}
}
