package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// class returns the class by which the request is let in or not.
func (r *run) class() loadshed.Class {
	return loadshed.Class{Priority: r.plan.Priority, Tenant: r.plan.Tenant}
}

// contentHash returns a hash of what the request asks, on whose behalf. It is the same for all
// tries of a client.
func (r *run) contentHash() uint64 {
	var hash xxhash.Digest
	hash.Reset() // A zero Digest is not ready.
	for _, text := range []string{r.plan.Tenant, r.request.Method, r.request.Host, r.request.Target} {
		// The writes to a Digest never fail.
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.request.Body)
	return hash.Sum64()
}

// isLetIn decides whether the request is begun, by what is known of the room at its services.
func (r *run) isLetIn() bool {
	room := r.runner.Admission
	if room == nil {
		return true
	}
	r.lot = room.Sampler.Sample(r.contentHash(), r.lot, r.began)
	r.admission = r.admit(r.began)
	return r.admission.IsAdmitted
}

// isShort reports whether only a part of the requests like this one is let in.
func (r *run) isShort(now time.Time) bool {
	return r.runner.Admission != nil && (r.admission.Share < 1 || r.admit(now).Share < 1)
}

// scarceHedgePart is the part of the time to the target after which, at the earliest, a sub-request
// to a service that is short of room is hedged. A working server that is full answers within that,
// since pkg/fleet keeps fewer requests at it, and each hedge takes the place of a request that is
// refused.
const scarceHedgePart = 0.5

// isScarce reports whether the service of a part has room for only a part of the requests like
// this one.
func (r *run) isScarce(part *part, now time.Time) bool {
	return r.runner.Admission != nil && r.runner.Admission.Admitter.ShareOf(r.load(part.service), r.class(), now) < 1
}

// admit decides about the request by what is known of its services at a moment.
func (r *run) admit(now time.Time) loadshed.Decision {
	return r.runner.Admission.Admitter.Admit(r.plan.Services, r.regions().Key(), r.plan.Required, r.class(), r.lot, now)
}

// spareOthers marks the services that have no room for the request and without which it can be
// answered as spared: they are left to requests that need them.
func (r *run) spareOthers() {
	spared := r.admission.Skipped
	if r.plan.Collect != nil {
		spared = r.plan.Collect.Skipped
	}
	for _, index := range spared {
		if index >= 0 && index < len(r.parts) {
			r.parts[index].spared = true
			r.spared++
		}
	}
}

// sparedOf returns the positions in a group whose services are spared.
func (r *run) sparedOf(group []int) []int {
	var spared []int
	for position, index := range group {
		if r.parts[index].spared {
			spared = append(spared, position)
		}
	}
	return spared
}

// hasAllButSpared reports whether some parts are spared and all others are answered.
func (r *run) hasAllButSpared() bool {
	if r.spared == 0 || r.got < len(r.parts)-r.spared {
		return false
	}
	for index := range r.parts {
		if each := &r.parts[index]; each.answer == nil && !each.spared {
			return false
		}
	}
	return true
}

// takeBackSpared asks the spared services after all, once the request cannot be answered without
// them any more. An owner that is still answering has a server at work or waits for one: it keeps
// the part, and is given the time of a report before this node asks a further server.
func (r *run) takeBackSpared() {
	if r.spared == 0 || r.plan.Collect != nil || r.got+r.open-r.missingSpared() >= r.plan.Required {
		return
	}
	r.spared = 0
	now := time.Now()
	for index := range r.parts {
		part := &r.parts[index]
		wasSpared := part.spared
		part.spared = false
		if !wasSpared || part.answer != nil || part.closed || len(part.live) > 0 {
			continue
		}
		if part.question == nil {
			r.retry(index, now)
		} else if part.executions < r.plan.MaxAttempts {
			part.hedgeAt = now.Add(r.reportWithin(now))
		}
	}
}

// askBeside lets this node ask the servers of a part whose owner has not answered within the time
// that it was given. What the owner reports later is still taken.
func (r *run) askBeside(index int, now time.Time) {
	part := &r.parts[index]
	if part.executions >= r.plan.MaxAttempts {
		return
	}
	part.question = nil
	r.retry(index, now)
}

// missingSpared counts the open parts without an answer that are spared.
func (r *run) missingSpared() int {
	count := 0
	for index := range r.parts {
		if each := &r.parts[index]; each.spared && each.answer == nil && !each.closed {
			count++
		}
	}
	return count
}

// noteOffered counts a part whose servers this node asks in the load of its service. Parts that
// it asks in the place of an owner are not counted: they are a small part of the load, by which
// the rest cannot be judged.
func (r *run) noteOffered(index int, now time.Time) {
	part := &r.parts[index]
	isForOwner := (len(r.groups) > 0 || r.isKeptFromOwners) && !part.owned
	if r.runner.Admission == nil || isForOwner || part.spared {
		return
	}
	if r.work == 0 {
		r.work = r.runner.Fleet.Profile(r.plan.Kind, r.plan.Assumed).Mean
	}
	part.isOffered = true
	r.runner.Admission.Meters.RecordAdmitted(r.load(part.service), loadshed.AdmittedRequest{
		Class: r.class(), Work: r.work, Share: r.admittedShare(index, now), ForPeers: part.owned,
	}, now)
}

// admittedShare returns the part of the requests like this one that a part's service was taken to
// have room for: by this node, or by the one whose question it answers.
func (r *run) admittedShare(index int, now time.Time) float64 {
	switch collect := r.plan.Collect; {
	case collect == nil:
		return r.runner.Admission.Admitter.ShareOf(r.load(r.parts[index].service), r.class(), now)
	case collect.AdmittedShares != nil:
		return collect.AdmittedShares[index]
	}
	return 1
}

// admittedShares returns the part of the requests like this one that each service has room
// for; nil if none is short of it.
func (r *run) admittedShares(services []string, now time.Time) []float64 {
	if r.runner.Admission == nil || r.runner.Admission.Admitter.AdmitsAll() {
		return nil
	}
	shares := make([]float64, len(services))
	for position, service := range services {
		shares[position] = r.runner.Admission.Admitter.ShareOf(r.load(service), r.class(), now)
	}
	return shares
}

// noteServedPart counts a part that was noted as offered and is answered.
func (r *run) noteServedPart(part *part) {
	if part.isOffered {
		r.runner.Admission.Meters.RecordServed(r.load(part.service), r.work)
	}
}
