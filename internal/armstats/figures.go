package armstats

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// The latency histogram counts in units of 10 microseconds up to 2 minutes,
// with two significant digits: about 18 KB for each arm with traffic.
const (
	latencyUnit        = 10 * time.Microsecond
	latencyMaximum     = 2 * time.Minute
	significantDigits  = 2
	lowestLatencyUnits = 1
)

// Figures are the figures of one arm. They are not safe for concurrent use.
type Figures struct {
	Arm string
	// Answered, Refused and Failed count requests by how they ended.
	Answered uint64
	Refused  uint64
	Failed   uint64
	// CoverageSum and CoverageMinimum are over answered requests, in shares of
	// the key space.
	CoverageSum     float64
	CoverageMinimum float64
	// Primary and Extra count sub-requests.
	Primary uint64
	Extra   uint64
	latency *hdrhistogram.Histogram
}

// Snapshot is the figures of every arm of one revision of a template.
type Snapshot struct {
	// Revision is zero if nothing was recorded.
	Revision uint64
	// Arms are sorted by name.
	Arms []Figures
}

// newFigures returns the empty figures of an arm.
func newFigures(arm string) Figures {
	return Figures{Arm: arm, CoverageMinimum: 1, latency: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatencyUnits, int64(latencyMaximum/latencyUnit), significantDigits)
}

// Requests returns the number of all requests, however they ended.
func (f *Figures) Requests() uint64 { return f.Answered + f.Refused + f.Failed }

// Quantile returns a quantile (0 to 1) of the latency of answered requests;
// zero if there was none.
func (f *Figures) Quantile(quantile float64) time.Duration {
	return time.Duration(f.latency.ValueAtQuantile(quantile*100)) * latencyUnit
}

// CoverageMean returns the mean covered share of answered requests; zero if
// there was none.
func (f *Figures) CoverageMean() float64 {
	if f.Answered == 0 {
		return 0
	}
	return f.CoverageSum / float64(f.Answered)
}

// ExtraLoadRatio returns the extra sub-requests for each primary one.
func (f *Figures) ExtraLoadRatio() float64 {
	if f.Primary == 0 {
		return 0
	}
	return float64(f.Extra) / float64(f.Primary)
}

// EncodeLatency returns the latency histogram in the compressed V2 format of
// HdrHistogram, base64, in units of 10 microseconds.
func (f *Figures) EncodeLatency() (string, error) {
	encoded, err := f.latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return string(encoded), errors.Wrap(err, "encode latency histogram")
}

// DecodeLatency replaces the latency histogram by one that EncodeLatency
// wrote.
func (f *Figures) DecodeLatency(encoded string) error {
	decoded, err := hdrhistogram.Decode([]byte(encoded))
	if err != nil {
		return errors.Wrap(err, "decode latency histogram")
	}
	own := newHistogram()
	if dropped := own.Merge(decoded); dropped > 0 {
		return errors.Errorf("decode latency histogram: %d values are out of range", dropped)
	}
	f.latency = own
	return nil
}

// add counts one request.
func (f *Figures) add(sample Sample) {
	f.Primary += uint64(max(sample.Primary, 0))
	f.Extra += uint64(max(sample.Extra, 0))
	switch sample.Result {
	case Refused:
		f.Refused++
	case Failed:
		f.Failed++
	default:
		f.addAnswer(sample)
	}
}

func (f *Figures) addAnswer(sample Sample) {
	f.Answered++
	f.CoverageSum += sample.Coverage
	f.CoverageMinimum = min(f.CoverageMinimum, sample.Coverage)
	units := max(int64(sample.Latency/latencyUnit), 0)
	// The value is within the range of the histogram, so no error can occur.
	_ = f.latency.RecordValue(min(units, int64(latencyMaximum/latencyUnit)))
}

// clone returns a copy that shares nothing.
func (f *Figures) clone() Figures {
	copied := *f
	copied.latency = newHistogram()
	copied.latency.Merge(f.latency)
	return copied
}

// merge adds the figures of the same arm at another node.
func (f *Figures) merge(other *Figures) {
	f.Answered += other.Answered
	f.Refused += other.Refused
	f.Failed += other.Failed
	f.CoverageSum += other.CoverageSum
	f.CoverageMinimum = min(f.CoverageMinimum, other.CoverageMinimum)
	f.Primary += other.Primary
	f.Extra += other.Extra
	f.latency.Merge(other.latency)
}

// Merge adds up snapshots of the same template at several nodes. Only those of
// the newest revision among them count; the others are of policies that are no
// longer in force.
func Merge(snapshots ...Snapshot) Snapshot {
	var merged Snapshot
	for _, snapshot := range snapshots {
		merged.Revision = max(merged.Revision, snapshot.Revision)
	}
	arms := make(map[string]*Figures)
	for _, snapshot := range snapshots {
		if snapshot.Revision == merged.Revision {
			mergeArms(arms, snapshot.Arms)
		}
	}
	for _, figures := range arms {
		merged.Arms = append(merged.Arms, *figures)
	}
	sort.Slice(merged.Arms, func(i, j int) bool { return merged.Arms[i].Arm < merged.Arms[j].Arm })
	return merged
}

func mergeArms(into map[string]*Figures, arms []Figures) {
	for index := range arms {
		figures := &arms[index]
		sum, found := into[figures.Arm]
		if !found {
			fresh := newFigures(figures.Arm)
			sum = &fresh
			into[figures.Arm] = sum
		}
		sum.merge(figures)
	}
}
