# What a developer runs. Everything needs cargo and the crates registry, nothing else.

CARGO ?= cargo

# Seconds that `make fuzz` runs for.
TIME ?= 60

.PHONY: build test demo fuzz faults load

# All programs, for development.
build:
	$(CARGO) build --workspace --bins

# All tests. Programs first: tests that start processes use them.
test: build
	$(CARGO) test --workspace

# The whole path as separate processes, one line a step. Logs go to target/demo.
demo: build
	target/debug/dyketally-lab demo

# Fuzz the library's parts for TIME seconds, from a fresh seed or from DYKETALLY_FUZZ_SEED.
fuzz:
	DYKETALLY_FUZZ_SECONDS=$(TIME) $(CARGO) test -p dyketally --test fuzz -- \
		--ignored --nocapture for_a_chosen_time

# Faults on real processes, judged by the history checker. Logs go to target/faults.
faults: build
	target/debug/dyketally-lab faults

# What the proxies cost, measured on optimised programs.
load:
	$(CARGO) build --release --workspace --bins
	target/release/dyketally-lab load
