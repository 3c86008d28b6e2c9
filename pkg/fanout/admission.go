package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// hasOwners reports whether what is known of the room at the services comes from their owners.
func (r *run) hasOwners() bool { return r.runner.Room != nil && len(r.groups) > 0 }

// class is what the request is judged by.
func (r *run) class() loadshed.Class {
	return loadshed.Class{Priority: r.plan.Priority, Tenant: r.plan.Tenant}
}

// askedHash is the same for all tries of a client that ask the same.
func (r *run) askedHash() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, text := range []string{r.plan.Tenant, r.request.Method, r.request.Host, r.request.Target} {
		// A Digest takes everything.
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.request.Body)
	return hash.Sum64()
}

// isLetIn decides whether the request is begun: by what the owners of its services tell, or
// by what this node's own requests have shown where there are none.
func (r *run) isLetIn() bool {
	if !r.hasOwners() {
		return r.runner.Fleet.Admits(r.demand(), r.lot, r.began)
	}
	r.lot = r.runner.Room.Lots.Draw(r.askedHash(), r.lot, r.began)
	r.admission = r.runner.Room.Board.Admit(r.plan.Services, r.plan.Required, r.class(), r.lot, r.began)
	return r.admission.IsAdmitted
}

// spareOthers leaves the services to others that have no room for the request and without
// which it can be answered.
func (r *run) spareOthers() {
	for _, index := range r.admission.Spared {
		r.parts[index].spared, r.parts[index].closed = true, true
		r.open--
	}
}

// withoutSpared returns the positions that are not left to others.
func (r *run) withoutSpared(indexes []int) []int {
	if len(r.admission.Spared) == 0 {
		return indexes
	}
	kept := make([]int, 0, len(indexes))
	for _, index := range indexes {
		if !r.parts[index].spared {
			kept = append(kept, index)
		}
	}
	return kept
}

// takeBackSpared asks the services that were left to others once the request cannot be
// answered without them any more.
func (r *run) takeBackSpared() {
	if r.got+r.open >= r.plan.Required || len(r.admission.Spared) == 0 {
		return
	}
	spared := r.admission.Spared
	r.admission.Spared = nil
	now := time.Now()
	for _, index := range spared {
		r.parts[index].spared, r.parts[index].closed = false, false
		r.open++
		r.launchFirst(index, now)
	}
}

// noteOffered counts a part that this node asks for on behalf of others among the load of its
// service.
func (r *run) noteOffered(index int, now time.Time) {
	part := &r.parts[index]
	if r.runner.Room == nil || !part.owned {
		return
	}
	share := 1.0
	switch collect := r.plan.Collect; {
	case collect == nil:
		share = r.runner.Room.Board.ShareOf(part.service, r.class(), now)
	case collect.AdmittedShares != nil:
		share = collect.AdmittedShares[index]
	}
	if r.work == 0 {
		r.work = r.runner.Fleet.Profile(r.plan.Kind, r.plan.Assumed).Mean
	}
	part.isOffered = true
	r.runner.Room.Meters.Offer(part.service, r.class(), r.work, share, now)
}

// admittedShares returns the part of the requests like this one that each service has room
// for; nil if none is short of it.
func (r *run) admittedShares(services []string, now time.Time) []float64 {
	if r.runner.Room == nil || r.runner.Room.Board.IsIdle() {
		return nil
	}
	shares := make([]float64, len(services))
	for position, service := range services {
		shares[position] = r.runner.Room.Board.ShareOf(service, r.class(), now)
	}
	return shares
}

// noteServedPart counts a part that was noted as offered and is answered.
func (r *run) noteServedPart(part *part) {
	if part.isOffered {
		r.runner.Room.Meters.Serve(part.service, r.work)
	}
}
