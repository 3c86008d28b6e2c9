package policy

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Kind identifies the decision that a policy makes.
type Kind string

// The kinds. Each value is the name of its field in a serialized Spec.
const (
	KindReplica   Kind = "replica"
	KindHedge     Kind = "hedge"
	KindStop      Kind = "stop"
	KindAdmission Kind = "admission"
	KindRetry     Kind = "retry"
)

// Kinds lists every kind in the order of Spec.
func Kinds() []Kind {
	return []Kind{KindReplica, KindHedge, KindStop, KindAdmission, KindRetry}
}

// Factory builds a policy P from the specification S of its kind, whose empty fields have been set to
// their defaults. The paths of the errors are relative to that specification, for example
// "quantile".
type Factory[S, P any] func(spec S) (P, FieldErrors)

// registry holds the factories of one kind by name.
type registry[S, P any] struct {
	kind Kind
	// mutex guards factories.
	mutex     sync.RWMutex
	factories map[string]Factory[S, P]
}

func newRegistry[S, P any](kind Kind, builtIn map[string]Factory[S, P]) *registry[S, P] {
	return &registry[S, P]{kind: kind, factories: builtIn}
}

func (r *registry[S, P]) register(name string, factory Factory[S, P]) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, taken := r.factories[name]; taken || name == "" {
		panic(fmt.Sprintf("policy: %s policy %q is empty or registered twice", r.kind, name))
	}
	r.factories[name] = factory
}

func (r *registry[S, P]) names() []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	names := make([]string, 0, len(r.factories))
	for name := range r.factories {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (r *registry[S, P]) build(name string, spec S) (P, FieldErrors) {
	r.mutex.RLock()
	factory := r.factories[name]
	r.mutex.RUnlock()
	if factory == nil {
		var zero P
		message := fmt.Sprintf("unknown policy %q: want one of %s", name, strings.Join(r.names(), ", "))
		return zero, FieldErrors{{Path: "policy", Message: message}}.Prefixed(string(r.kind))
	}
	built, errs := factory(spec)
	return built, errs.Prefixed(string(r.kind))
}

// Names returns the registered policy names of a kind in alphabetical order; nil for an unknown kind.
func Names(kind Kind) []string {
	switch kind {
	case KindReplica:
		return replicas.names()
	case KindHedge:
		return hedges.names()
	case KindStop:
		return stops.names()
	case KindAdmission:
		return admissions.names()
	case KindRetry:
		return retries.names()
	default:
		return nil
	}
}

// RegisterReplica adds a replica policy under a name that templates can use.
// Call it, like the other Register functions, from an init function. It panics if the name is empty
// or already registered.
func RegisterReplica(name string, factory Factory[ReplicaSpec, ReplicaChooser]) {
	replicas.register(name, factory)
}

// RegisterHedge adds a hedge policy; see RegisterReplica.
func RegisterHedge(name string, factory Factory[HedgeSpec, HedgePolicy]) {
	hedges.register(name, factory)
}

// RegisterStop adds a stop rule; see RegisterReplica.
func RegisterStop(name string, factory Factory[StopSpec, StopRule]) {
	stops.register(name, factory)
}

// RegisterAdmission adds an admission policy; see RegisterReplica.
func RegisterAdmission(name string, factory Factory[AdmissionSpec, AdmissionPolicy]) {
	admissions.register(name, factory)
}

// RegisterRetry adds a retry policy; see RegisterReplica.
func RegisterRetry(name string, factory Factory[RetrySpec, RetryPolicy]) {
	retries.register(name, factory)
}
