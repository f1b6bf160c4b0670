# The modules of the workspace, in the order in which they build.
MODULES = magno platform stand entry agent magctl drive
BIN = bin
GOLANGCI_VERSION = v2.15.0
LINT = $(shell go env GOPATH)/bin/golangci-lint
SEED ?= 1
FOR ?= 20s
PORT ?= 7000
DEPLOY ?= delta
# The real processes of drive/soak take a quarter of an hour.
TIMEOUT = -timeout 30m

.PHONY: all build test race lint fmt demo chaos up down soak soaksite clean tools

all: build test

build:
	@mkdir -p $(BIN)
	@for m in stand entry agent magctl drive; do go build -o $(BIN)/$$m ./$$m || exit 1; done

# The tests of drive/proof build the programs themselves, which the cache of
# test results doesn't see, so they are run anew each time.
test:
	@for m in $(MODULES); do (cd $$m && go test $(TIMEOUT) $$(go list ./... | grep -v /proof$$)) || exit 1; done
	@cd drive && go test -count=1 ./proof

race:
	@for m in $(MODULES); do (cd $$m && go test -race $(TIMEOUT) $$(go list ./... | grep -v /proof$$)) || exit 1; done
	@cd drive && go test -race -count=1 ./proof

fmt:
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt ./...) || exit 1; done

lint:
	@for m in $(MODULES); do (cd $$m && $(LINT) run --config ../.golangci.yml ./...) || exit 1; done

tools:
	@test -x $(LINT) || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

clean:
	rm -rf $(BIN)

# Further seeds of the models: SEED is the first, FOR how long. The seed of a
# failure is printed, and rapid leaves its history in testdata for replay.
soak:
	@SEED=$(SEED) FOR=$(FOR) demo/soak

# The real programs on the platform's stand-ins, with faults from outside:
# SEEDS seeds from SEED on, faults for FAULTS each.
SEEDS ?= 1
FAULTS ?= 8s
soaksite: build
	@$(BIN)/drive soak -seed $(SEED) -seeds $(SEEDS) -for $(FAULTS) -out out/soak

# Each starts processes in a script of its own: no program starts another.
demo: build
	@OUT=out/demo PORT=$(PORT) DEPLOY=$(DEPLOY) FOR=$(FOR) SEED=$(SEED) demo/run

# The demo's load while things fail one after the other.
chaos: build
	@OUT=out/chaos PORT=$(PORT) SEED=$(SEED) demo/chaos

up: build
	@demo/up out/up $(PORT) $(DEPLOY)
	@echo "running; export MAGNO_FLEET=out/up/fleet.json and see bin/magctl status; make down ends it"

down:
	@demo/down out/up
