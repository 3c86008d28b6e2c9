package load

import "sort"

// armKey names what an ArmSummary adds up.
type armKey struct {
	template, arm string
}

// armTally adds up the series of one arm.
type armTally struct {
	all, answered, refused *tally
}

func newArmTally() *armTally {
	return &armTally{all: newTally(), answered: newTally(), refused: newTally()}
}

func (a *armTally) add(key SeriesKey, entry *tally) {
	a.all.merge(entry)
	switch {
	case key.Reason == "":
		a.answered.merge(entry)
	case key.Refused:
		a.refused.merge(entry)
	}
}

func (a *armTally) summary(key armKey) ArmSummary {
	summary := ArmSummary{
		Template:       key.template,
		Arm:            key.arm,
		Requests:       a.all.count,
		Answered:       a.answered.count,
		Useful:         a.answered.useful,
		Refused:        a.refused.count,
		Failed:         a.all.count - a.answered.count - a.refused.count,
		Latency:        quantiles(a.answered.latency),
		RefusalLatency: quantiles(a.refused.latency),
		FirstPartial:   a.answered.firstPartial(),
		Coverage:       a.answered.coverageSummary(),
		ExtraLoad:      a.answered.extraLoad(),
	}
	if summary.Requests > 0 {
		summary.Attempts = float64(a.all.exchanges) / float64(summary.Requests)
	}
	return summary
}

// armList sums up each arm over all templates and for each template. The
// caller holds the mutex.
func (r *recorder) armList() []ArmSummary {
	tallies := make(map[armKey]*armTally)
	for key, entry := range r.series {
		for _, place := range []armKey{{arm: key.Arm}, {template: key.Template, arm: key.Arm}} {
			if tallies[place] == nil {
				tallies[place] = newArmTally()
			}
			tallies[place].add(key, entry)
		}
	}
	list := make([]ArmSummary, 0, len(tallies))
	for key, entry := range tallies {
		summary := entry.summary(key)
		if seconds := r.window.duration.Seconds(); seconds > 0 {
			summary.UsefulRate = float64(r.usefulInWindow[key]) / seconds
		}
		list = append(list, summary)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Template != list[j].Template {
			return list[i].Template < list[j].Template
		}
		return list[i].Arm < list[j].Arm
	})
	return list
}
