package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// class returns the admission class of the request.
func (r *run) class() loadshed.Class {
	return loadshed.Class{Priority: r.plan.Priority, Tenant: r.plan.Tenant}
}

// contentHash returns a hash of the request's content and tenant. It is the same for all retries of
// a client.
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

// isAdmitted decides whether the request is admitted, from what is known of the load on its
// services.
func (r *run) isAdmitted() bool {
	control := r.runner.Admission
	if control == nil {
		return true
	}
	r.samplingValue = control.Sampler.Sample(r.contentHash(), r.samplingValue, r.began)
	r.admission = r.admit(r.began)
	return r.admission.IsAdmitted
}

// isLimited reports whether only a share of the requests like this one is admitted.
func (r *run) isLimited(now time.Time) bool {
	return r.runner.Admission != nil && (r.admission.Share < 1 || r.admit(now).Share < 1)
}

// limitedHedgeShare is the share of the time to the target that a sub-request to a limited service
// waits at least before it is hedged. A healthy but full server answers within that time, since
// pkg/fleet limits the requests at it, and each hedge takes the capacity of a request that is then
// refused.
const limitedHedgeShare = 0.5

// isServiceLimited reports whether the service of a part has capacity for only a share of the
// requests like this one.
func (r *run) isServiceLimited(part *part, now time.Time) bool {
	return r.runner.Admission != nil && r.runner.Admission.Admitter.ShareOf(r.loadKey(part.service), r.class(), now) < 1
}

// admit decides about the request from what is known of its services at the given time.
func (r *run) admit(now time.Time) loadshed.Decision {
	return r.runner.Admission.Admitter.Admit(r.plan.Services, r.regions().Key(), r.plan.Required, r.class(), r.samplingValue, now)
}

// markSkipped marks the parts of limited services that the request can be answered without: their
// capacity is left to requests that need it.
func (r *run) markSkipped() {
	skipped := r.admission.Skipped
	if r.plan.Collect != nil {
		skipped = r.plan.Collect.Skipped
	}
	for _, index := range skipped {
		if index >= 0 && index < len(r.parts) {
			r.parts[index].skipped = true
			r.skipped++
		}
	}
}

// skippedIn returns the positions in a group whose services are skipped.
func (r *run) skippedIn(group []int) []int {
	var skipped []int
	for position, index := range group {
		if r.parts[index].skipped {
			skipped = append(skipped, position)
		}
	}
	return skipped
}

// hasAllButSkipped reports whether some parts are skipped and all others are answered.
func (r *run) hasAllButSkipped() bool {
	if r.skipped == 0 || r.answered < len(r.parts)-r.skipped {
		return false
	}
	for index := range r.parts {
		if each := &r.parts[index]; each.answer == nil && !each.skipped {
			return false
		}
	}
	return true
}

// restoreSkipped queries the skipped services after all, once the request can no longer be answered
// without them. An owner with an open question already has a server at work or waits for one: it
// keeps the part, and this node queries a further server only after the time of a report.
func (r *run) restoreSkipped() {
	if r.skipped == 0 || r.plan.Collect != nil || r.answered+r.open-r.countSkippedMissing() >= r.plan.Required {
		return
	}
	r.skipped = 0
	now := time.Now()
	for index := range r.parts {
		part := &r.parts[index]
		wasSkipped := part.skipped
		part.skipped = false
		if !wasSkipped || part.answer != nil || part.closed || len(part.inFlight) > 0 {
			continue
		}
		if part.question == nil {
			r.retry(index, now)
		} else if part.executions < r.plan.MaxAttempts {
			part.hedgeAt = now.Add(r.nextReportInterval(now))
		}
	}
}

// askDirectly lets this node query the servers of a part whose owner has not answered in time.
// Later reports of the owner are still accepted.
func (r *run) askDirectly(index int, now time.Time) {
	part := &r.parts[index]
	if part.executions >= r.plan.MaxAttempts {
		return
	}
	part.question = nil
	r.retry(index, now)
}

// countSkippedMissing counts the skipped parts that are open and have no answer.
func (r *run) countSkippedMissing() int {
	count := 0
	for index := range r.parts {
		if each := &r.parts[index]; each.skipped && each.answer == nil && !each.closed {
			count++
		}
	}
	return count
}

// recordAdmittedLoad counts a part that this node queries in the load of its service. Parts that it
// queries in place of an owner are not counted: they are a small share of the load, which says
// nothing about the rest.
func (r *run) recordAdmittedLoad(index int, now time.Time) {
	part := &r.parts[index]
	isInOwnersPlace := (len(r.groups) > 0 || r.isWithheldFromOwners) && !part.owned
	if r.runner.Admission == nil || isInOwnersPlace || part.skipped {
		return
	}
	if r.work == 0 {
		r.work = r.runner.Fleet.Profile(r.plan.Kind, r.plan.Assumed).Mean
	}
	part.isLoadRecorded = true
	r.runner.Admission.Meters.RecordAdmitted(r.loadKey(part.service), loadshed.AdmittedRequest{
		Class: r.class(), Work: r.work, Share: r.admittedShare(index, now), ForPeers: part.owned,
	}, now)
}

// admittedShare returns the share of the requests like this one that a part's service was estimated
// to have capacity for: by this node, or by the node whose question it answers.
func (r *run) admittedShare(index int, now time.Time) float64 {
	switch collect := r.plan.Collect; {
	case collect == nil:
		return r.runner.Admission.Admitter.ShareOf(r.loadKey(r.parts[index].service), r.class(), now)
	case collect.AdmittedShares != nil:
		return collect.AdmittedShares[index]
	}
	return 1
}

// admittedShares returns the share of the requests like this one that each service has capacity
// for; nil if no service is limited.
func (r *run) admittedShares(services []string, now time.Time) []float64 {
	if r.runner.Admission == nil || r.runner.Admission.Admitter.AdmitsAll() {
		return nil
	}
	shares := make([]float64, len(services))
	for position, service := range services {
		shares[position] = r.runner.Admission.Admitter.ShareOf(r.loadKey(service), r.class(), now)
	}
	return shares
}

// recordServedLoad counts an answered part whose load was recorded.
func (r *run) recordServedLoad(part *part) {
	if part.isLoadRecorded {
		r.runner.Admission.Meters.RecordServed(r.loadKey(part.service), r.work)
	}
}
