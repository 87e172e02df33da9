# Every target works in a fresh clone with only Go, make and bash.
GO ?= go
TOOLS = $(GO) tool -modfile=tools/go.mod

.PHONY: build test lint fmt race generate check-generated run demo measure capacity soak

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) vet ./...
	$(GO) test ./...

race:
	$(GO) test -race ./...

fmt:
	$(TOOLS) gofumpt -w cmd internal

lint:
	@out=$$($(TOOLS) gofumpt -l cmd internal); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }
	$(GO) vet ./...
	$(TOOLS) staticcheck ./...

capacity:
	$(GO) run ./cmd/basilrail-capacity
