# Targets for developers. "make test" is what CI runs.
GO ?= go

.PHONY: build test demo measure generate fmt
build:
	$(GO) build -o bin/ ./cmd/...
	$(GO) build -o bin/ ./bench/cmd/...

# Tests listed in KNOWN-RED.txt fail because of known faults; they are left out
# here and printed by .ci/run.
KNOWN_RED := $(shell sed -n 's/^test: .*\.//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# The end-to-end tests run last and alone: they check bounds in real time.
test:
	$(GO) test -race -count=1 $(SKIP) ./... $$($(GO) list ./bench/... | grep -v /e2e)
	$(GO) test -race -count=1 $(SKIP) -timeout 15m ./bench/e2e

demo: build
	./bin/marjorambench demo

measure: build
	./bin/marjorambench measure all

# Needs protoc, protoc-gen-go and protoc-gen-go-drpc. The result is committed.
generate:
	protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative peer/peerpb/peer.proto

fmt:
	gofmt -l -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')
