package keyspace_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestKeyspace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Keyspace")
}
