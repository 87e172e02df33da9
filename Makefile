# Every target works in a fresh clone with only Go, make and bash.
GO ?= go
TOOLS = $(GO) tool -modfile=tools/go.mod

.PHONY: build test lint fmt race generate check-generated run demo measure capacity soak soak-processes soak-fleet soak-brittle deploy-build

build:
	$(GO) build -o bin/ ./cmd/...

# Failures listed in KNOWN-RED.txt are printed and don't fail the target.
GATE = $(GO) run ./internal/testgate

test:
	$(GO) vet ./...
	$(GO) test -json -timeout 20m ./... | $(GATE)

race:
	$(GO) test -json -race -timeout 30m ./... | $(GATE)

fmt:
	$(TOOLS) gofumpt -w cmd internal platform

lint:
	@out=$$($(TOOLS) gofumpt -l cmd internal platform); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }
	$(GO) vet ./...
	$(TOOLS) staticcheck ./...

generate:
	$(GO) run ./internal/docsgen

check-generated:
	$(GO) run ./internal/docsgen -check

measure:
	scripts/measure.sh

# demo runs both examples and exits; run runs lagos-main until interrupted.
demo: build
	bash scripts/demo.sh

run: build
	bash scripts/run.sh

capacity:
	$(GO) run ./cmd/basilrail-capacity

# soak runs the model-based tests of settings, of the platform's path over restores of
# the store, and of claims with new seeds; a
# failure prints its seed.
SOAK_CHECKS ?= 2000
soak:
	BASILRAIL_SOAK=1 $(GO) test -count=1 -run RandomInterleavings ./internal/configsync -rapid.checks=$(SOAK_CHECKS)
	BASILRAIL_SOAK=1 $(GO) test -count=1 -run RandomInterleavingsOver ./platform -rapid.checks=$(SOAK_CHECKS)
	BASILRAIL_TEST_FIRST_SEED=$$(date +%s) $(GO) test -count=1 -run OneSend ./internal/claim

# soak-processes runs instances as processes and injects faults, with new seeds; a
# failure prints its seed.
SOAK_SEEDS ?= 50
soak-processes:
	BASILRAIL_SOAK_SEEDS=$(SOAK_SEEDS) BASILRAIL_SOAK_FIRST=$$(date +%s) $(GO) test -count=1 -race -run TestSoak -parallel 6 -timeout 30m ./platform

# soak-fleet runs fleets of processes that are short of processor time, with new seeds; a failure
# prints its seed. platform/processfleet_test.go lists the variables that change the runs.
FLEET_SEEDS ?= 50
soak-fleet:
	BASILRAIL_FLEET_SEEDS=$(FLEET_SEEDS) BASILRAIL_FLEET_FIRST=$$(date +%s) $(GO) test -count=1 -run TestFleetShortOfProcessorTimeLosesNoStream/one_build -parallel 4 -timeout 60m ./platform

# soak-brittle simulates fleets before brittle servers with new seeds; a failure prints its seed.
BRITTLE_SEEDS ?= 50
soak-brittle:
	BASILRAIL_BRITTLE_SEEDS=$(BRITTLE_SEEDS) BASILRAIL_BRITTLE_FIRST=$$(date +%s) $(GO) test -count=1 -run RandomFleets -timeout 60m ./internal/dispatch

# deploy-build runs the build line of the deploy file.
deploy-build:
	@line=$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml); echo "$$line"; sh -c "$$line"
