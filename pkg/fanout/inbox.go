package fanout

import "sync"

// inbox keeps the reports of owners until the event loop takes them, so that
// nobody who brings one has to wait.
type inbox struct {
	// arrived has an element while there are reports.
	arrived chan struct{}

	mutex sync.Mutex
	// reports and closed are guarded by mutex.
	reports []questionReport
	closed  bool
}

// questionReport is a report with the question that it answers.
type questionReport struct {
	question *question
	report   Report
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 1)} }

// put keeps a report; after close it does nothing.
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

// take returns the reports that have come, in their order.
func (i *inbox) take() []questionReport {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	taken := i.reports
	i.reports = nil
	return taken
}

// close drops what was not taken.
func (i *inbox) close() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.closed, i.reports = true, nil
}
