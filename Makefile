# Targets for developers. "make test" is what CI runs.
GO ?= go

.PHONY: build test demo measure generate fmt
build:
	$(GO) build -o bin/ ./cmd/...
	$(GO) build -o bin/ ./bench/cmd/...

test:
	$(GO) test -race -count=1 ./... ./bench/...

demo: build
	./bin/marjorambench demo

measure: build
	./bin/marjorambench measure

# Needs protoc, protoc-gen-go and protoc-gen-go-drpc. The result is committed.
generate:
	protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative peer/peerpb/peer.proto

fmt:
	gofmt -l -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')
