package freeport

import (
	"net"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// TestAddressesAreFreeAndDistinct, and below the ports of outgoing connections.
func TestAddressesAreFreeAndDistinct(t *testing.T) {
	g := NewWithT(t)
	seen := make(map[string]bool)
	for range 100 {
		address, err := Address()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seen).NotTo(HaveKey(address))
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		g.Expect(err).NotTo(HaveOccurred())
		port, err := strconv.Atoi(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(port).To(And(BeNumerically(">=", leastPort), BeNumerically("<", greatestPort)))
		listener, err := net.Listen("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(listener.Close()).To(Succeed())
	}
}
