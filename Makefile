# Targets: see README.md. Everything is pinned in go.mod.
GO ?= go
BIN := bin
PROTOS := $(wildcard proto/*.proto)

.PHONY: build
build:
	$(GO) build -o $(BIN)/ ./cmd/...

# generate needs protoc; its output is committed.
.PHONY: generate
generate:
	GOBIN=$(CURDIR)/$(BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go github.com/planetscale/vtprotobuf/cmd/protoc-gen-go-vtproto
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --proto_path=proto --go_out=. --go_opt=module=github.com/bramblemast/bramblemast \
		--go-vtproto_out=. --go-vtproto_opt=module=github.com/bramblemast/bramblemast,features=marshal+unmarshal+size $(PROTOS)
