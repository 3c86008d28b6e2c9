package node

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/settings"
)

var _ = Describe("the planned stop of a node", func() {
	It("lets a request in flight end before any part is closed", func() {
		chosen, err := settings.Parse(nil, []settings.Override{
			{Path: "node.zone", Value: "oslo"},
			{Path: "listen.callers", Value: "127.0.0.1:0"},
			{Path: "listen.operators", Value: "127.0.0.1:0"},
			{Path: "listen.peers", Value: "127.0.0.1:0"},
			{Path: "stop.announce", Value: "10ms"},
		})
		Expect(err).NotTo(HaveOccurred())
		one, err := New(chosen, hclog.NewNullLogger())
		Expect(err).NotTo(HaveOccurred())
		entered, proceed := make(chan struct{}), make(chan struct{})
		one.callersRouter.GET("/slow", func(context echo.Context) error {
			close(entered)
			<-proceed
			return context.NoContent(http.StatusOK)
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- one.Run(ctx) }()
		answered := make(chan error, 1)
		client := &http.Client{Transport: &http.Transport{}}
		DeferCleanup(client.CloseIdleConnections)
		go func() {
			response, err := client.Get("http://" + one.Addresses().Callers + "/slow")
			if err == nil {
				err = response.Body.Close()
			}
			answered <- err
		}()
		Eventually(entered, testPatience).Should(BeClosed())
		cancel()
		Consistently(ended, "300ms").ShouldNot(Receive())
		close(proceed)
		Eventually(answered, testPatience).Should(Receive(BeNil()))
		Eventually(ended, testPatience).Should(Receive(BeNil()))
	})
})
