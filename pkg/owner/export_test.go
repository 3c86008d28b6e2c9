package owner

import "github.com/bramblemast/bramblemast/pkg/loadshed"

// Put hands an Announcer a message as its meters do.
func (a *Announcer) Put(message []loadshed.Measured) { a.put(message) }
