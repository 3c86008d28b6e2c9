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

type questionReport struct {
	question *question
	report   Report
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 1)} }

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

func (i *inbox) take() []questionReport {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	taken := i.reports
	i.reports = nil
	return taken
}

func (i *inbox) close() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.closed, i.reports = true, nil
}
