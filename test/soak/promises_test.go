package soak

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bramblemast/bramblemast/platform"
	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// Bounds of every deployment, as its settings name them; shape has the others.
const (
	contactBound = 5 * time.Second
	graceBound   = 6 * time.Second
	extraRatio   = 0.2
	extraBound   = 50
	extraWindow  = 10 * time.Second
	// arrivalSlack is allowed for a request on its way while the machine is
	// busy.
	arrivalSlack = 300 * time.Millisecond
)

// checkGathered checks the answer of a gathered request: each part is an answer
// of a server to this very request, no service is counted twice, the parts and
// the missing ones make up one shard set, and the body holds the greatest
// records of the parts.
func checkGathered(id string, answer platformtest.Answer, servers map[string]*server, sets [][]string) error {
	dialect := platform.Dialect()
	var services []string
	var records [][]byte
	for _, line := range answer.Header[dialect.Parts] {
		for mark := range strings.SplitSeq(line, ",") {
			fields := strings.Split(strings.TrimSpace(mark), ".")
			if len(fields) != 3 || fields[1] != id || servers[fields[0]] == nil {
				return fmt.Errorf("part %q is no answer to %s", mark, id)
			}
			answered := servers[fields[0]]
			if slices.Contains(services, answered.Service) {
				return fmt.Errorf("%s counts twice", answered.Service)
			}
			services = append(services, answered.Service)
			records = append(records, answered.records...)
		}
	}
	missing, _ := strconv.Atoi(answer.Header.Get(dialect.MissingParts))
	if !fitsOneSet(services, missing, sets) {
		return fmt.Errorf("parts %v and %d missing are no shard set", services, missing)
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	want := bytes.Join(records[:min(topRecords, len(records))], nil)
	if answer.Body != string(want) {
		return fmt.Errorf("the body is %q, wanted %q", answer.Body, want)
	}
	return nil
}

func fitsOneSet(services []string, missing int, sets [][]string) bool {
	for _, set := range sets {
		outside := slices.ContainsFunc(services, func(each string) bool { return !slices.Contains(set, each) })
		if !outside && len(services)+missing == len(set) && float64(len(services)) >= coverage*float64(len(set)) {
			return true
		}
	}
	return false
}

// checkSingle checks the answer of one server that was passed on.
func checkSingle(id string, answer platformtest.Answer, servers map[string]*server) error {
	mark := answer.Header.Get(platform.Dialect().Evidence)
	fields := strings.Split(mark, ".")
	if len(fields) != 3 || fields[1] != id || servers[fields[0]] == nil {
		return fmt.Errorf("evidence %q is no answer to %s", mark, id)
	}
	if want := "answer of " + fields[0]; answer.Body != want {
		return fmt.Errorf("the body is %q, wanted %q", answer.Body, want)
	}
	return nil
}

// arrival is one request that ran at a server.
type arrival struct {
	ID      string
	Server  string
	Service string
	At      time.Time
	// Tenants are the names under which the server knew the caller.
	Tenants []string
}

func arrivalsOf(servers []*server) []arrival {
	var all []arrival
	for _, each := range servers {
		for _, got := range each.Received() {
			all = append(all, arrival{got.ID, each.ID, each.Service, got.At, got.Tenants})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.At.Compare(b.At) })
	return all
}

// checkOnce checks that a request that may not be repeated ran at most once,
// and not at all if it was refused.
func checkOnce(replies []reply, arrivals []arrival) []string {
	runs := make(map[string]int)
	for _, each := range arrivals {
		runs[each.ID]++
	}
	var broken []string
	for _, got := range replies {
		if got.Repeated {
			continue
		}
		if runs[got.ID] > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", got.ID, runs[got.ID]))
		}
		if isRefusal(got.Status) && runs[got.ID] > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused with %d and ran", got.ID, got.Status))
		}
	}
	return broken
}

func isRefusal(status int) bool {
	return status == 503 || status == 429 || status == 421 || status == 408
}

// checkNeverBack checks that a life of a node never handles a request as only
// an older configuration allows: once it served the route of a version, that
// route is there.
func checkNeverBack(replies []reply) []string {
	type life struct {
		node   string
		number int
	}
	served := make(map[life][]reply)
	var broken []string
	for _, got := range replies {
		key := life{got.Node, got.Life}
		number, isVersioned := versionOfPath(got.Path)
		if !isVersioned {
			continue
		}
		if got.Status == 200 {
			served[key] = append(served[key], got)
			continue
		}
		if got.Status != 404 {
			continue
		}
		for _, before := range served[key] {
			older, _ := versionOfPath(before.Path)
			if older >= number && before.Ended.Before(got.Sent) {
				broken = append(broken, fmt.Sprintf("%s/%d served version %d and then no route of version %d", got.Node, got.Life, older, number))
				break
			}
		}
	}
	return broken
}

// versionOfPath returns the version that adds the route of a path.
func versionOfPath(path string) (int, bool) {
	rest, found := strings.CutPrefix(path, "/version-")
	if !found {
		return 0, false
	}
	number, err := strconv.Atoi(strings.TrimSuffix(rest, "/"))
	return number, err == nil
}

// checkExtra checks the bound on extra load in every span that ends with an
// arrival: arrivals beyond the first of each request, against the requests that
// callers sent in that span or the one before.
func checkExtra(service string, requests []time.Time, arrivals []arrival) []string {
	seen := make(map[string]bool)
	var extra []time.Time
	for _, each := range arrivals {
		if each.Service != service {
			continue
		}
		if seen[each.ID] {
			extra = append(extra, each.At)
		}
		seen[each.ID] = true
	}
	within := func(times []time.Time, begin, end time.Time) int {
		count := 0
		for _, at := range times {
			if at.After(begin) && !at.After(end) {
				count++
			}
		}
		return count
	}
	for _, end := range extra {
		begin := end.Add(-extraWindow)
		count := within(extra, begin, end)
		primary := max(within(requests, begin, end), within(requests, begin.Add(-extraWindow), begin))
		if float64(count) > extraRatio*float64(primary)+extraBound {
			return []string{fmt.Sprintf("%s: %d extra for %d requests in the span to %s", service, count, primary, end.Format(time.TimeOnly))}
		}
	}
	return nil
}

// checkEvacuations checks that nothing reached the servers of an evacuated zone later than
// its bound, where nothing was broken.
func checkEvacuations(history *history, arrivals []arrival, servers map[string]*server, bound time.Duration) []string {
	var broken []string
	for _, each := range arrivals {
		if servers[each.Server].Zone != evacuatedZone {
			continue
		}
		for _, span := range history.evacuations {
			isLate := each.At.After(span.Begin.Add(bound+arrivalSlack)) && (span.End.IsZero() || each.At.Before(span.End))
			if isLate && history.calm(span.Begin.Add(-contactBound), each.At) {
				broken = append(broken, fmt.Sprintf("%s reached %s %s after its zone was evacuated", each.ID, each.Server, each.At.Sub(span.Begin)))
			}
		}
	}
	return broken
}
