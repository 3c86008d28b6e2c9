package exchange

import "github.com/cespare/xxhash/v2"

// maxRepeatableIDs is how many unsuccessful answers a connection may have carried; after that it is
// closed instead of reused, so that the IDs kept for it stay bounded.
const maxRepeatableIDs = 32

// answeredIDs are the requests to which a connection has already carried an answer. A faulty server
// may send a further copy of such an answer later. The copy carries the request's ID, so it could not
// be told from the answer to a second send of the same request on the same connection.
type answeredIDs struct {
	// last is the hash of the ID of the last request; any is set once there was one.
	last uint64
	any  bool
	// repeatable are the hashes of the IDs whose answer was not a success: such a request may be
	// sent again at any later time.
	repeatable []uint64
}

// contains reports whether the connection has carried an answer to a request with the ID that may
// be sent again. A hash collision only prevents one reuse.
func (a *answeredIDs) contains(id string) bool {
	hash := xxhash.Sum64String(id)
	if a.any && a.last == hash {
		return true
	}
	for _, each := range a.repeatable {
		if each == hash {
			return true
		}
	}
	return false
}

// record adds the ID of a request that was answered.
func (a *answeredIDs) record(id string, answer *Response) {
	a.last, a.any = xxhash.Sum64String(id), true
	isSuccess := answer.Status/100 == 2 && answer.Evidence != ""
	if !isSuccess {
		a.repeatable = append(a.repeatable, a.last)
	}
}

// isFull reports whether no further ID can be kept.
func (a *answeredIDs) isFull() bool { return len(a.repeatable) >= maxRepeatableIDs }
