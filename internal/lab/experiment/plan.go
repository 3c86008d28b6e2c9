package experiment

import (
	"math"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// deployment returns the preset with the changes of the document, and with the
// services that the templates ask alone.
func (d *Document) deployment(seed uint64) *topology.Deployment {
	deployment := topology.Preset(d.Deployment)
	deployment.Seed = seed
	var wanted []topology.Service
	for _, service := range deployment.Services {
		if d.asks(service.Name) {
			wanted = append(wanted, d.changed(service))
		}
	}
	deployment.Services = wanted
	return deployment
}

func (d *Document) asks(service target.Service) bool {
	for index := range d.Templates {
		if d.Templates[index].Service == service {
			return true
		}
	}
	return false
}

func (d *Document) changed(service topology.Service) topology.Service {
	for _, change := range d.Services {
		if change.Name != service.Name {
			continue
		}
		replace(&service.ServiceTime, change.ServiceTime)
		replace(&service.Slots, change.Slots)
		replace(&service.Queue, change.Queue)
		replace(&service.Records, change.Records)
	}
	return service
}

func replace[Value any](field *Value, change *Value) {
	if change != nil {
		*field = *change
	}
}

// capacity returns the requests of the varied template per second that keep
// every slot of its service busy.
func (d *Document) capacity(deployment *topology.Deployment) float64 {
	varied := d.varied()
	service := deployment.Service(varied.Service)
	if varied.NotRepeatable {
		return capacity(service, 1)
	}
	return capacity(service, max(service.Groups, service.Servers))
}

// capacity returns the queries per second that keep every slot of a service
// busy: slots over the slot time that one query of so many parts takes.
func capacity(service *topology.Service, parts int) float64 {
	servers := service.Servers
	if service.Groups > 0 {
		servers = service.Groups * service.ServersPerGroup
	}
	slotTime := meanServiceTime(service.ServiceTime) * float64(parts)
	if slotTime <= 0 {
		return 0
	}
	return float64(servers*service.Slots) / slotTime
}

// meanServiceTime returns the mean in seconds of a log-normal time with
// stragglers.
func meanServiceTime(model topology.ServiceTime) float64 {
	mean := model.Median.Std().Seconds() * math.Exp(model.Spread*model.Spread/2)
	return mean * (1 + model.StragglerShare*(model.StragglerFactor-1))
}

// steps works out the rates.
func (d *Document) steps(deployment *topology.Deployment) []load.Step {
	most := d.capacity(deployment)
	steps := make([]load.Step, 0, len(d.Load.Steps))
	for _, step := range d.Load.Steps {
		rate := step.Rate
		if step.Utilisation > 0 {
			rate = step.Utilisation * most
		}
		steps = append(steps, load.Step{Rate: rate, Duration: step.Duration})
	}
	return steps
}

// templatesFor returns the templates to publish for one arm of the isolated
// mode; a nil arm stands for all arms in the shared mode.
func (d *Document) templatesFor(arm *Arm) []*template.Template {
	documents := make([]*template.Template, 0, len(d.Templates))
	for index := range d.Templates {
		document := d.Templates[index]
		if document.Key().String() == d.Vary {
			d.vary(&document, arm)
		}
		documents = append(documents, &document)
	}
	return documents
}

func (d *Document) vary(document *template.Template, arm *Arm) {
	if arm != nil {
		document.Policies = policy.Merge(document.Policies, arm.Policies)
		return
	}
	document.Experiment = &template.Experiment{Name: d.Name}
	for _, side := range d.Arms {
		document.Experiment.Arms = append(document.Experiment.Arms,
			template.Arm{Name: side.Name, Share: side.Share, Policies: side.Policies})
	}
}
