# Short targets over CMake.  BUILD names the build folder.
BUILD ?= build
JOBS ?= $(shell nproc)

all: build

# Configuring is quick and finds folders that were added since.
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

# Needs clang.  FUZZ_S seconds for each target, on a copy of its corpus.
FUZZ_S ?= 60
fuzz:
	CC=clang CXX=clang++ cmake -S . -B build-fuzz -DBF_FUZZ=ON >/dev/null
	cmake --build build-fuzz -j $(JOBS)
	tools/fuzz.sh build-fuzz $(FUZZ_S)

# Counts and decisions first, then what the machine's load can disturb.  Each
# prints "name value unit bound ok|RED"; the slopes of docs/CAPACITY.md come
# from bench/mesh.sh, which is not part of it.
bench: build
	$(BUILD)/bench/bench_config
	$(BUILD)/bench/bench_route
	$(BUILD)/bin/bench_member 1300
	$(BUILD)/bench/bench_rollout 10
	$(BUILD)/bench/bench_path $(BUILD)/bin/standin_target 12

# Plays the recorded load patterns through the policies of placing and waiting.
replay: build
	$(BUILD)/bin/replay tests/traces/load/*.pattern

# Real processes in random faults: SEEDS seeds from FIRST on.
FIRST ?= 1
SEEDS ?= 50
soak: build
	tools/soak.sh $(BUILD) $(FIRST) $$(($(FIRST) + $(SEEDS) - 1))

# Breaks the mechanism of each promise and expects its test to fail.
mutate:
	tools/mutate.sh

# A mesh on this machine, from nothing to a shift report.
demo: deps build
	tools/demo.sh $(BUILD)

clean:
	rm -rf build build-asan build-tsan build-fuzz

.PHONY: all configure build deps check format lint asan tsan fuzz demo bench \
	replay soak mutate clean
