package bytebudget

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// Hold is the part of a budget that one body takes. A hold that is no longer needed must be released.
type Hold struct {
	budget *Budget

	// The fields below are guarded by the budget's mutex.
	bytes     int64
	isEvicted bool
	// waitsSince is when the hold began to wait for its client, and endWait ends that wait; both are
	// set while it is among awaitingClients.
	waitsSince time.Time
	endWait    func()
}

// AwaitClient makes the hold evictable until ClientDone or Release. endWait ends the wait for the client,
// for example by a deadline on its connection; it must not block, and is called from any goroutine.
func (h *Hold) AwaitClient(endWait func()) {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	if h.isEvicted {
		return
	}
	h.waitsSince, h.endWait = time.Now(), endWait
	h.budget.awaitingClients[h] = struct{}{}
}

// ClientDone ends the wait for the client. It returns ErrEvicted if the hold was evicted meanwhile.
func (h *Hold) ClientDone() error {
	if h == nil {
		return nil
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	delete(h.budget.awaitingClients, h)
	if h.isEvicted {
		return ErrEvicted
	}
	return nil
}

// Release returns all bytes to the budget. The hold must not grow afterwards. Release may be called more
// than once.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	delete(h.budget.awaitingClients, h)
	h.budget.release(h.bytes)
	h.bytes = 0
}

// Grow adds bytes to the hold. If the budget has no room, it evicts others that wait for their clients,
// or waits for up to patience until there is room.
func (h *Hold) Grow(bytes int64, patience time.Duration) error {
	if h == nil {
		return nil
	}
	err := h.tryGrow(bytes)
	for end := time.Now().Add(patience); errors.Is(err, ErrExhausted); {
		remaining := time.Until(end)
		if remaining <= 0 {
			h.budget.countExhaustion()
			return err
		}
		released := h.budget.awaitRelease()
		// Bytes may have been released before the channel was there.
		if err = h.tryGrow(bytes); errors.Is(err, ErrExhausted) {
			awaitAny(released, min(remaining, evictionRecheck))
			err = h.tryGrow(bytes)
		}
	}
	return err
}

// evictionRecheck is how often a hold that waits for room looks for others that can be evicted by then.
const evictionRecheck = 100 * time.Millisecond

// tryGrow adds bytes to the hold if there is room, or if others can be evicted for it.
func (h *Hold) tryGrow(bytes int64) error {
	calls, err := h.budget.grow(h, bytes, time.Now())
	callAll(calls)
	return err
}

// awaitAny returns when the channel is closed or the time has passed.
func awaitAny(released <-chan struct{}, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	}
}

// shrink returns bytes of the hold to the budget.
func (h *Hold) shrink(bytes int64) {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	h.budget.release(bytes)
}

// Sizes of the buffers of ReadAll.
const (
	// firstBuffer is the size of the first buffer of a body of unknown length.
	firstBuffer = 4 << 10
	// trustedLength is the announced length up to which memory is taken before a body has arrived; a
	// faulty sender may announce a body that it never sends.
	trustedLength = 64 << 10
)

// ErrTooLarge means that a body has more bytes than allowed.
var ErrTooLarge = errors.New("body is too large")

// ReadAll reads a body of at most limit bytes to its end, and adds the memory that it takes to the hold.
// length is the announced length, or negative if it is unknown. patience is how long it waits for room in
// the budget, in all.
func (h *Hold) ReadAll(reader io.Reader, length, limit int64, patience time.Duration) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	end := time.Now().Add(patience)
	most := limit
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if int64(len(body)) == most {
			return body, h.expectEnd(reader, length)
		}
		if len(body) == cap(body) {
			grown, err := h.reallocate(body, most, length >= 0, max(0, time.Until(end)))
			if err != nil {
				return nil, err
			}
			body = grown
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return nil, err
		}
		if length >= 0 && int64(len(body)) < length {
			return nil, io.ErrUnexpectedEOF
		}
		return body, nil
	}
}

// reallocate returns the body in a buffer of about twice the size, of most bytes at most.
func (h *Hold) reallocate(body []byte, most int64, isLengthKnown bool, patience time.Duration) ([]byte, error) {
	size := max(2*int64(cap(body)), firstBuffer)
	if isLengthKnown {
		size = max(size, trustedLength)
	}
	size = min(size, most)
	if err := h.Grow(size, patience); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	h.shrink(int64(cap(body)))
	return grown, nil
}

// expectEnd checks that a body without an announced length ends at its limit.
func (h *Hold) expectEnd(reader io.Reader, length int64) error {
	if length >= 0 {
		return nil
	}
	var next [1]byte
	for {
		count, err := reader.Read(next[:])
		if count > 0 {
			return ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
