BUILD ?= build
SEED ?= 1
STEPS ?= 200000
SEEDS ?= 5

.PHONY: help setup build demo test lint format bench soak fleet-soak trial

help:
	@echo "make build   install what is needed and build"
	@echo "make demo    build, then show the whole path on loopback"
	@echo "make test    build, then run all tests"
	@echo "make lint    check the format and run the linter"
	@echo "make format  format all sources"
	@echo "make bench   measure the decisions and the path"
	@echo "make soak    run SEED=$(SEED) STEPS=$(STEPS) in virtual time"
	@echo "make fleet-soak  run the fleet's real programs under faults, SEEDS=$(SEEDS) from SEED"
	@echo "make trial   run a system on loopback under faults and load"

setup:
	@scripts/setup.sh

$(BUILD)/build.ninja: CMakeLists.txt | setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: setup $(BUILD)/build.ninja
	@ninja -C $(BUILD) --quiet

demo: build
	@CHERVILSLIP_BIN=$(CURDIR)/$(BUILD)/bin python3 scripts/demo.py
	@CHERVILSLIP_BIN=$(CURDIR)/$(BUILD)/bin python3 platform/trial/fleet_demo.py

# The tests of KNOWN-RED.txt, joined for ctest.
KNOWN_RED = $(shell sed '/^\#/d;/^ *$$/d;s/ *|.*//' KNOWN-RED.txt | sort -u | paste -sd'|')

test: build
	@ctest --test-dir $(BUILD) --output-on-failure $(if $(KNOWN_RED),-E '^($(KNOWN_RED))$$')

lint: build
	@scripts/lint.sh $(BUILD)

format:
	@git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' | xargs clang-format -i

bench: build
	@CHERVILSLIP_BIN=$(CURDIR)/$(BUILD)/bin python3 scripts/bench.py

soak: build
	@$(BUILD)/bin/chervilslip-soak --seed $(SEED) --steps $(STEPS)

fleet-soak: build
	@CHERVILSLIP_BIN=$(CURDIR)/$(BUILD)/bin python3 platform/trial/fleet_soak.py --seed $(SEED) --seeds $(SEEDS) $(OPTIONS)

trial: build
	@CHERVILSLIP_BIN=$(CURDIR)/$(BUILD)/bin python3 scripts/trial.py
