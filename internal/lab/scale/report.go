package scale

import (
	"slices"
	"time"
)

// Budget is what a node may spend on control.
type Budget struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
	CoreShare      float64 `json:"core_share"`
	MemoryBytes    float64 `json:"memory_bytes"`
	// SpreadSeconds is the time in which a change must be in force everywhere.
	SpreadSeconds float64 `json:"spread_seconds"`
	// ZoneNodes is the number of nodes of a zone at the size to design for.
	ZoneNodes float64 `json:"zone_nodes"`
}

// defaultBudget is that of the size to design for: 5,400 nodes in 17 zones.
var defaultBudget = Budget{
	BytesPerSecond: 12 << 10,
	CoreShare:      0.015,
	MemoryBytes:    256 << 20,
	SpreadSeconds:  12,
	ZoneNodes:      5400.0 / 17,
}

// Rates is what one node spent on average, and store what all spent together.
type Rates struct {
	Seconds float64 `json:"seconds"`
	// BytesPerSecond counts both directions.
	BytesPerSecond           float64 `json:"bytes_per_second"`
	MessagesPerSecond        float64 `json:"messages_per_second"`
	MembershipBytesPerSecond float64 `json:"membership_bytes_per_second"`
	ConfigBytesPerSecond     float64 `json:"config_bytes_per_second"`
	// MaxBytesPerSecond is that of the node that spent most.
	MaxBytesPerSecond float64 `json:"max_bytes_per_second"`
	// CoreShare is the processor time as a share of one core.
	CoreShare           float64 `json:"core_share"`
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	// Suspicions and Removed count members over all nodes.
	Suspicions uint64 `json:"suspicions"`
	Removed    uint64 `json:"removed"`
	// Pauses counts how often a node found its process paused. Above zero, this
	// process got too little processor time for so many nodes, and the figures
	// are not those of nodes with a machine of their own.
	Pauses uint64 `json:"pauses"`
}

// Times are quantiles of a delay in seconds.
type Times struct {
	Count  int     `json:"count"`
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
	// Missing counts the nodes that did not hear of it in time.
	Missing int `json:"missing"`
}

// Measurement is the result for one number of nodes.
type Measurement struct {
	Nodes         int     `json:"nodes"`
	ZoneNodes     int     `json:"zone_nodes"`
	SettleSeconds float64 `json:"settle_seconds"`
	// MemoryBytes is for one node, after a garbage collection.
	MemoryBytes float64 `json:"memory_bytes"`
	Quiet       Rates   `json:"quiet"`
	Changing    Rates   `json:"changing"`
	// Propagation is from accepted to in force, over changes and nodes.
	Propagation Times `json:"propagation"`
	// Suspected and Removed are from a kill to its notice by each other node of
	// the zone: that it is not alive for certain, and that it is dead.
	Suspected Times `json:"suspected"`
	Removed   Times `json:"removed"`
}

// Slope is a straight line fitted to a figure over the nodes of a zone, and its
// value at the size to design for.
type Slope struct {
	Figure    string  `json:"figure"`
	Unit      string  `json:"unit"`
	Intercept float64 `json:"intercept"`
	// PerNode is the growth with each further node of a zone.
	PerNode float64 `json:"per_node"`
	// AtDesign is the value of the line at Budget.ZoneNodes; absent if the
	// largest measured zone is too small to tell.
	AtDesign *float64 `json:"at_design,omitempty"`
	Budget   float64  `json:"budget"`
}

// Report is the result of a scale run.
type Report struct {
	Zones      int           `json:"zones"`
	Transport  TransportKind `json:"transport"`
	Templates  int           `json:"templates"`
	ChangeRate float64       `json:"change_rate"`
	Seed       uint64        `json:"seed"`
	Cores      int           `json:"cores"`
	Budget     Budget        `json:"budget"`
	Sizes      []Measurement `json:"sizes"`
	Slopes     []Slope       `json:"slopes"`
}

// fit fills in the slopes.
func (r *Report) fit() {
	r.Slopes = []Slope{
		r.slope("control bytes, quiet", "B/s", r.Budget.BytesPerSecond, func(m Measurement) float64 { return m.Quiet.BytesPerSecond }),
		r.slope("control bytes, changing", "B/s", r.Budget.BytesPerSecond, func(m Measurement) float64 { return m.Changing.BytesPerSecond }),
		r.slope("messages, quiet", "1/s", 0, func(m Measurement) float64 { return m.Quiet.MessagesPerSecond }),
		r.slope("core share, quiet", "%", 100*r.Budget.CoreShare, func(m Measurement) float64 { return 100 * m.Quiet.CoreShare }),
		r.slope("core share, changing", "%", 100*r.Budget.CoreShare, func(m Measurement) float64 { return 100 * m.Changing.CoreShare }),
		r.slope("memory", "B", r.Budget.MemoryBytes, func(m Measurement) float64 { return m.MemoryBytes }),
		r.slope("store calls, all nodes", "1/s", 0, func(m Measurement) float64 { return m.Quiet.StoreCallsPerSecond }),
		r.slope("in force, p99", "s", r.Budget.SpreadSeconds, func(m Measurement) float64 { return m.Propagation.P99 }),
		r.slope("removed, p99", "s", 0, func(m Measurement) float64 { return m.Removed.P99 }),
	}
}

func (r *Report) slope(figure, unit string, budget float64, of func(Measurement) float64) Slope {
	var sizes, values []float64
	for _, measured := range r.Sizes {
		sizes = append(sizes, float64(measured.ZoneNodes))
		values = append(values, of(measured))
	}
	intercept, perNode := fitLine(sizes, values)
	line := Slope{Figure: figure, Unit: unit, Intercept: intercept, PerNode: perNode, Budget: budget}
	if maxExtrapolation*slices.Max(sizes) >= r.Budget.ZoneNodes {
		atDesign := intercept + perNode*r.Budget.ZoneNodes
		line.AtDesign = &atDesign
	}
	return line
}

// maxExtrapolation is how many times the largest measured zone a line may be
// extended.
const maxExtrapolation = 3

// fitLine returns the line of least squares; it is level through the mean if
// there is only one size.
func fitLine(x, y []float64) (intercept, slope float64) {
	if len(x) == 0 {
		return 0, 0
	}
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for index := range x {
		covariance += (x[index] - meanX) * (y[index] - meanY)
		variance += (x[index] - meanX) * (x[index] - meanX)
	}
	if variance == 0 {
		return meanY, 0
	}
	slope = covariance / variance
	return meanY - slope*meanX, slope
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// Quantiles that are reported.
const (
	medianShare = 0.5
	tailShare   = 0.99
)

// summarize returns the quantiles of delays of which wanted were expected.
func summarize(delays []time.Duration, wanted int) Times {
	if len(delays) == 0 {
		return Times{Missing: wanted}
	}
	sorted := slices.Sorted(slices.Values(delays))
	at := func(share float64) float64 {
		return sorted[int(share*float64(len(sorted)-1))].Seconds()
	}
	return Times{Count: len(sorted), Median: at(medianShare), P99: at(tailShare), Max: at(1)}
}
