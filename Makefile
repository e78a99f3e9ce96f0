# Convenience targets for CMake.  BUILD is the build folder.
BUILD ?= build
JOBS ?= $(shell nproc)

all: build

# Runs before every build: it is fast and finds newly added folders.
configure:
	cmake -S . -B $(BUILD) >/dev/null

build: configure
	cmake --build $(BUILD) -j $(JOBS)

deps:
	tools/install-deps.sh

check: build
	tools/check.sh $(BUILD)

format:
	tools/lint.sh --fix $(BUILD)

lint: configure
	tools/lint.sh $(BUILD)

asan:
	cmake -S . -B build-asan -DBF_SANITIZE=ON >/dev/null
	cmake --build build-asan -j $(JOBS)
	tools/check.sh build-asan -E e2e

tsan:
	cmake -S . -B build-tsan -DBF_TSAN=ON >/dev/null
	cmake --build build-tsan -j $(JOBS)
	TSAN_OPTIONS=suppressions=$(CURDIR)/tests/tsan.supp \
	    tools/check.sh build-tsan

# Needs clang.  Runs each target for FUZZ_S seconds; new inputs are written to
# the build folder, not to the committed corpus.
FUZZ_S ?= 60
fuzz:
	CC=clang CXX=clang++ cmake -S . -B build-fuzz -DBF_FUZZ=ON >/dev/null
	cmake --build build-fuzz -j $(JOBS)
	tools/fuzz.sh build-fuzz $(FUZZ_S)

# Benches of counts and decisions run first, then those that depend on the load
# of the machine.  Each prints "name value unit bound ok|RED".  bench/mesh.sh,
# which gives the slopes of docs/CAPACITY.md, is not run here.
bench: build
	$(BUILD)/bench/bench_config
	$(BUILD)/bench/bench_route
	$(BUILD)/bin/bench_member 1300
	$(BUILD)/bench/bench_rollout 10
	$(BUILD)/bench/bench_path $(BUILD)/bin/standin_target 12

# Replays recorded load patterns through the policies for the choice of a target
# and for queueing.
replay: build
	$(BUILD)/bin/replay tests/traces/load/*.pattern \
	    tests/traces/capacity/*.pattern

# Runs the soak test with SEEDS consecutive seeds from FIRST on.
FIRST ?= 1
SEEDS ?= 50
soak: build
	tools/soak.sh $(BUILD) $(FIRST) $$(($(FIRST) + $(SEEDS) - 1))

# Mutation test: breaks the code behind each guarantee and expects its test to
# fail.
mutate:
	tools/mutate.sh

# Starts a mesh on this machine, moves two services and prints the report.
demo: deps build
	tools/demo.sh $(BUILD)

clean:
	rm -rf build build-asan build-tsan build-fuzz

.PHONY: all configure build deps check format lint asan tsan fuzz demo bench \
	replay soak mutate clean
