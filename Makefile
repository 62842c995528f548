BUILD ?= build
SEED ?= 1
STEPS ?= 200000

.PHONY: help setup build demo test lint format bench soak trial

help:
	@echo "make build   install what is needed and build"
	@echo "make demo    build, then show the whole path on loopback"
	@echo "make test    build, then run all tests"
	@echo "make lint    check the format and run the linter"
	@echo "make format  format all sources"
	@echo "make bench   measure the decisions and the path"
	@echo "make soak    run SEED=$(SEED) STEPS=$(STEPS) in virtual time"
	@echo "make trial   run a system on loopback under faults and load"

setup:
	@scripts/setup.sh

$(BUILD)/build.ninja: CMakeLists.txt | setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: setup $(BUILD)/build.ninja
	@ninja -C $(BUILD) --quiet

demo: build
	@CHERVILSLIP_BIN=$(CURDIR)/$(BUILD)/bin python3 scripts/demo.py

test: build
	@ctest --test-dir $(BUILD) --output-on-failure

lint: build
	@scripts/lint.sh $(BUILD)

format:
	@git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' | xargs clang-format -i

bench: build
	@CHERVILSLIP_BIN=$(CURDIR)/$(BUILD)/bin python3 scripts/bench.py

soak: build
	@$(BUILD)/bin/chervilslip-soak --seed $(SEED) --steps $(STEPS)

trial: build
	@CHERVILSLIP_BIN=$(CURDIR)/$(BUILD)/bin python3 scripts/trial.py
