package fanout

import "sync"

// inbox queues the reports of owners for the event loop, so that their senders never block.
type inbox struct {
	// arrived holds an element while there may be reports.
	arrived chan struct{}

	mutex sync.Mutex
	// reports and closed are guarded by mutex.
	reports []questionReport
	closed  bool
}

// questionReport is a report and the question that it answers.
type questionReport struct {
	question *question
	report   Report
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 1)} }

// put queues a report. After close it drops the report.
func (i *inbox) put(from *question, report Report) {
	i.mutex.Lock()
	if !i.closed {
		i.reports = append(i.reports, questionReport{question: from, report: report})
	}
	i.mutex.Unlock()
	select {
	case i.arrived <- struct{}{}:
	default:
	}
}

// take returns the queued reports in order of arrival.
func (i *inbox) take() []questionReport {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	taken := i.reports
	i.reports = nil
	return taken
}

// close drops the queued reports and all later ones.
func (i *inbox) close() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.closed, i.reports = true, nil
}
