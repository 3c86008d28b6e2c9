# Targets: see README.md. Every tool is pinned in go.mod.
GO ?= go
BIN := bin
PROTOS := $(wildcard proto/*.proto)
VERSION := $(shell git describe --tags --always --dirty 2>/dev/null || echo unknown)
LDFLAGS := -X github.com/bramblemast/bramblemast/internal/version.Version=$(VERSION)
FUZZTIME ?= 30s
SOAK ?= 3m

.PHONY: build test race lint demo bench fuzz soak stats generate

build:
	$(GO) build -ldflags "$(LDFLAGS)" -o $(BIN)/ ./cmd/...

# demo runs the main job with everything embedded and ends by itself.
demo: build
	$(BIN)/bramblemast-lab demo

# test runs every test with fixed seeds; it builds the programs first, because
# the integration tests start them. The tests of crowds measure the memory of a
# process with what its sockets hold, so they run apart from the others.
CROWDS := ./test/crowds
test: build
	scripts/test.sh -count=1 -timeout 8m -- $$($(GO) list ./... | grep -v '/test/crowds$$')
	scripts/test.sh -count=1 -timeout 8m -- $(CROWDS)

# race runs the tests of the packages that start goroutines under the race
# detector; it needs a C compiler. The detector's memory grows with each goroutine
# that has run: the simulations of pkg/quota would take 14 GB in one process, so its
# longest test has one of its own, after the others.
LONGEST_OF_QUOTA := ^TestTheSumHoldsWhateverFails$$
race:
	scripts/test.sh -race -count=1 -timeout 10m -- $$($(GO) list ./pkg/... ./internal/... ./platform/... | grep -v '/pkg/quota$$')
	scripts/test.sh -race -count=1 -timeout 10m -run '$(LONGEST_OF_QUOTA)' -- ./pkg/quota
	scripts/test.sh -race -count=1 -timeout 10m -skip '$(LONGEST_OF_QUOTA)' -- ./pkg/quota

lint:
	@unformatted="$$(gofmt -l $$(git ls-files '*.go'))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./pkg/... ./internal/...

# fuzz runs each native fuzz target for FUZZTIME and the stateful ones with
# many checks and fresh seeds.
fuzz:
	scripts/fuzz.sh $(FUZZTIME)

stats:
	@scripts/stats.sh

# generate needs protoc; its output is committed.
generate:
	GOBIN=$(CURDIR)/$(BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go github.com/planetscale/vtprotobuf/cmd/protoc-gen-go-vtproto
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --proto_path=proto --go_out=. --go_opt=module=github.com/bramblemast/bramblemast \
		--go-vtproto_out=. --go-vtproto_opt=module=github.com/bramblemast/bramblemast,features=marshal+unmarshal+size $(PROTOS)

# soak runs the node as real processes and breaks what it depends on, with a
# fresh seed; its settings, logs and history are kept in bin/soak.
soak:
	$(GO) test ./test/soak -count=1 -timeout 2h -v -args -soak.seed 0 -soak.span $(SOAK) -soak.timed -soak.folder $(CURDIR)/$(BIN)/soak
