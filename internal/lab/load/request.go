package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/bramblemast/bramblemast/api"
)

// Request is one request of a caller, which may take several exchanges.
type Request struct {
	// Number counts the arrivals of the run from zero.
	Number int
	Load   *TemplateLoad
	Body   api.QueryRequest
	// IdempotencyKey is set for not-repeatable requests.
	IdempotencyKey string
	// Repeat makes the caller send the request again with the same key.
	Repeat bool

	encoded []byte
	step    int
}

// generator draws requests from the mix.
type generator struct {
	name        string
	mix         []TemplateLoad
	totalWeight float64
	random      *rand.Rand
	count       int
}

func newGenerator(options Options, random *rand.Rand) *generator {
	g := &generator{name: options.Name, mix: options.Mix, random: random}
	for _, entry := range options.Mix {
		g.totalWeight += entry.weight()
	}
	return g
}

func (t TemplateLoad) weight() float64 {
	if t.Weight == 0 {
		return 1
	}
	return t.Weight
}

// draw makes the next request.
func (g *generator) draw(step int) *Request {
	entry := g.pick()
	request := &Request{Number: g.count, Load: entry, step: step}
	g.count++
	request.Body = api.QueryRequest{
		Tenant:   entry.Tenant,
		Template: entry.Template,
		Query:    drawText(g.random, entry.Queries),
		Key:      drawText(g.random, entry.Keys),
		Limit:    entry.Limit,
		Class:    string(entry.Class),
	}
	if entry.Deadline > 0 {
		milliseconds := entry.Deadline.Std().Milliseconds()
		request.Body.DeadlineMS = &milliseconds
	}
	if entry.NotRepeatable {
		g.addIdempotency(request)
	}
	// The body holds only plain values, which always encode.
	request.encoded, _ = json.Marshal(request.Body)
	return request
}

func (g *generator) addIdempotency(request *Request) {
	request.IdempotencyKey = fmt.Sprintf("%s-key-%d", g.name, request.Number)
	request.Repeat = g.random.Float64() < request.Load.RepeatShare
	if request.Body.Key == "" {
		request.Body.Key = request.IdempotencyKey
	}
	request.Body.Payload = request.Load.Payload
	if len(request.Body.Payload) == 0 {
		request.Body.Payload = json.RawMessage(fmt.Sprintf(`{"order":%d}`, request.Number))
	}
}

func (g *generator) pick() *TemplateLoad {
	left := g.random.Float64() * g.totalWeight
	for index := range g.mix {
		left -= g.mix[index].weight()
		if left < 0 {
			return &g.mix[index]
		}
	}
	return &g.mix[len(g.mix)-1]
}

func drawText(random *rand.Rand, texts []string) string {
	if len(texts) == 0 {
		return ""
	}
	return texts[random.IntN(len(texts))]
}
