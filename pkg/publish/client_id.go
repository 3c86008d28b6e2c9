package publish

// WithChangeID returns a Publisher for one change, with an id that the client
// chose, so that the client can settle the change if the node's reply is lost.
// The id must be a UUID of version 7, as those of NewChangeID are: their order
// tells whether a change is older than the kept history.
func (p *Publisher) WithChangeID(changeID string) *Publisher {
	options := p.options
	options.NewChangeID = func() string { return changeID }
	return &Publisher{options: options}
}
