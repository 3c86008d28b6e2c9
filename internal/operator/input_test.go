package operator_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/operator/operatortest"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

var _ = Describe("Bad input", func() {
	var cluster *operatortest.Cluster

	BeforeEach(func() {
		cluster = operatortest.NewCluster(1)
		DeferCleanup(cluster.Close)
	})

	send := func(method, path, contentType, changeID, body string) (int, api.Problem) {
		GinkgoHelper()
		request, err := http.NewRequest(method, "http://"+cluster.Nodes[0].Address()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if contentType != "" {
			request.Header.Set("Content-Type", contentType)
		}
		if changeID != "" {
			request.Header.Set(api.HeaderChangeID, changeID)
		}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.Header.Get("Content-Type")).To(Equal("application/problem+json"))
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		var problem api.Problem
		Expect(json.NewDecoder(bytes.NewReader(content)).Decode(&problem)).To(Succeed())
		return response.StatusCode, problem
	}

	const (
		tallyPath = "/v1/templates/valgdata/tally"
		valid     = `{"tenant":"valgdata","name":"tally","service":"resultatside","class":"interactive","deadline":"80ms"}`
		jsonType  = "application/json"
	)

	DescribeTable("is refused with a problem that names the field, and changes nothing",
		func(method, path, contentType, changeID, body string, status int, field string) {
			got, problem := send(method, path, contentType, changeID, body)
			Expect(got).To(Equal(status))
			Expect(problem.Status).To(Equal(status))
			Expect(problem.Field).To(Equal(field))
			Expect(problem.Outcome).To(Equal(outcome.NotRun))
			Expect(problem.Detail).NotTo(BeEmpty())
			Expect(cluster.Stored(tallyKey)).To(BeNil())
		},
		Entry("no expected revision", "PUT", tallyPath, jsonType, "", valid, 400, "expected_revision"),
		Entry("negative expected revision", "PUT", tallyPath+"?expected_revision=-1", jsonType, "", valid, 400, "expected_revision"),
		Entry("huge expected revision", "PUT", tallyPath+"?expected_revision=99999999999999999999", jsonType, "", valid, 400, "expected_revision"),
		Entry("wrong media type", "PUT", tallyPath+"?expected_revision=0", "text/html", "", valid, 415, "Content-Type"),
		Entry("no media type", "PUT", tallyPath+"?expected_revision=0", "", "", valid, 415, "Content-Type"),
		Entry("body too large", "PUT", tallyPath+"?expected_revision=0", jsonType, "", strings.Repeat(" ", template.MaxFileSize+1), 413, "body"),
		Entry("empty body", "PUT", tallyPath+"?expected_revision=0", jsonType, "", "", 400, "document"),
		Entry("malformed body", "PUT", tallyPath+"?expected_revision=0", jsonType, "", `{"tenant":`, 400, "document"),
		Entry("unknown field", "PUT", tallyPath+"?expected_revision=0", jsonType, "", strings.Replace(valid, "}", `,"colour":1}`, 1), 400, "colour"),
		Entry("absurd deadline", "PUT", tallyPath+"?expected_revision=0", jsonType, "", strings.Replace(valid, "80ms", "-1s", 1), 400, "deadline"),
		Entry("other tenant than the path", "PUT", "/v1/templates/other/tally?expected_revision=0", jsonType, "", valid, 400, "tenant"),
		Entry("other name than the path", "PUT", "/v1/templates/valgdata/other?expected_revision=0", jsonType, "", valid, 400, "name"),
		Entry("tombstone by PUT", "PUT", tallyPath+"?expected_revision=0", jsonType, "", `{"tenant":"valgdata","name":"tally","deleted":true}`, 400, "deleted"),
		Entry("change id that is no UUID", "PUT", tallyPath+"?expected_revision=0", jsonType, "a b", valid, 400, "X-Change-Id"),
		Entry("change id without time", "PUT", tallyPath+"?expected_revision=0", jsonType, "5b0ce8ce-7e2c-4d3a-9f33-0d1b4f4d9c0e", valid, 400, "X-Change-Id"),
		Entry("change id from the future", "PUT", tallyPath+"?expected_revision=0", jsonType, "0fffffff-0000-7000-8000-000000000001", valid, 400, "X-Change-Id"),
		Entry("drain with an unknown scope", "POST", "/v1/backends/10.0.0.1:9000/drain?scope=node", "", "", "", 400, "scope"),
		Entry("delete without expected revision", "DELETE", tallyPath, "", "", "", 400, "expected_revision"),
		Entry("delete with an endless comment", "DELETE", tallyPath+"?expected_revision=1&comment="+strings.Repeat("a", 1025), "", "", "", 400, "comment"),
		Entry("settle without change id", "GET", tallyPath+"/settle", "", "", "", 400, "change_id"),
		Entry("rollback without body", "POST", tallyPath+"/rollback", jsonType, "", "", 400, "body"),
		Entry("rollback to nothing", "POST", tallyPath+"/rollback", jsonType, "", `{"expected_revision":1}`, 400, "to_revision"),
		Entry("rollback without expected revision", "POST", tallyPath+"/rollback", jsonType, "", `{"to_revision":1}`, 400, "expected_revision"),
		Entry("rollback with text for a revision", "POST", tallyPath+"/rollback", jsonType, "", `{"to_revision":"one"}`, 400, "to_revision"),
		Entry("rollback with an unknown field", "POST", tallyPath+"/rollback", jsonType, "", `{"revision":1}`, 400, "revision"),
		Entry("rollback with two objects", "POST", tallyPath+"/rollback", jsonType, "", `{"to_revision":1,"expected_revision":1}{}`, 400, "body"),
		Entry("rollback with a body too large", "POST", tallyPath+"/rollback", jsonType, "", strings.Repeat(" ", template.MaxFileSize+1), 413, "body"),
		Entry("unknown path", "GET", "/v1/nothing", "", "", "", 404, ""),
		Entry("wrong method", "PATCH", tallyPath, "", "", "", 405, ""),
	)

	It("gives up a body that does not arrive", func() {
		connection, err := net.Dial("tcp", cluster.Nodes[0].Address())
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "PUT %s?expected_revision=0 HTTP/1.1\r\nHost: node\r\nContent-Type: %s\r\nContent-Length: 100\r\n\r\n{", tallyPath, jsonType)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(cluster.Stored(tallyKey)).To(BeNil())
	})

	It("lists every fault of a template", func() {
		_, problem := send("PUT", tallyPath+"?expected_revision=0", jsonType, "",
			`{"tenant":"valgdata","name":"tally","service":"resultatside","class":"sometimes","deadline":"0s"}`)
		Expect(problem.Errors).To(HaveLen(2))
		Expect(problem.Errors[0].Path).To(Equal("class"))
		Expect(problem.Errors[1].Path).To(Equal("deadline"))
	})

	It("refuses an unknown scope", func() {
		cluster.Nodes[0].Hold(tally())
		status, problem := send("GET", "/v1/experiments/valgdata/tally?scope=galaxy", "", "", "")
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(problem.Field).To(Equal("scope"))
	})
})
