package edge

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner"
)

// openAnnouncer creates the announcer. It sends other nodes the admission shares of the services to
// which this node, as an owner, sends requests on their behalf.
func (n *Node) openAnnouncer() {
	n.announcer = owner.NewAnnouncer(owner.AnnouncerOptions{
		Admission: n.admission, Roster: n.state.roster, Transport: n.transport, OnPublish: newAdmissionLog(n.logger).write,
	})
	n.metrics.gauge("services_short_of_room", "Services of which this node lets in only a part of the requests.", func() float64 {
		return float64(n.admission.Admitter.LimitedServices())
	})
}

// admissionLogInterval is the minimum time between two log lines that a service is short of
// capacity, because its shares change several times a second.
const admissionLogInterval = time.Second

// admissionLog logs the admission shares that this node, as an owner, announces for services that
// have too little capacity or have enough again. It is not safe for concurrent use.
type admissionLog struct {
	logger  hclog.Logger
	limiter *stateLogLimiter[loadshed.Key]
}

// newAdmissionLog returns a log that has written no line yet.
func newAdmissionLog(logger hclog.Logger) *admissionLog {
	return &admissionLog{logger: logger, limiter: newStateLogLimiter[loadshed.Key](admissionLogInterval)}
}

// write logs the shares of each service, at most once per admissionLogInterval.
func (l *admissionLog) write(message []loadshed.Measurement) {
	for _, each := range message {
		if each.Shares.IsFull() {
			if l.limiter.shouldLogEnd(each.Key, each.MeasuredAt) {
				l.logger.Info("room again", "service", each.Service)
			}
			continue
		}
		if !l.limiter.shouldLogBegin(each.Key, each.MeasuredAt) {
			continue
		}
		l.logger.Warn("short of room", "service", each.Service, "shares", each.Shares.Ranks, "tenants", each.Shares.Tenants)
	}
}

// appendAdmission adds the share by which a request was admitted or refused if a service that it
// needs is short of capacity.
func appendAdmission(list []any, result fanout.Result) []any {
	admission := result.Admission
	if admission.Share >= 1 || admission.LimitingService == "" {
		return list
	}
	return append(list, "short_service", admission.LimitingService, "share", roundShare(admission.Share),
		"share_age_ms", admission.ShareAge.Milliseconds(), "priority", admission.Class.Priority)
}

// roundShare rounds a share for a log line.
func roundShare(share float64) float64 {
	const digits = 1000
	return float64(int(share*digits+0.5)) / digits
}
