# What a developer runs. Everything needs cargo and the crates registry, nothing else.

CARGO ?= cargo

.PHONY: build test demo faults

# All programs, for development.
build:
	$(CARGO) build --workspace --bins

# All tests. Programs first: tests that start processes use them.
test: build
	$(CARGO) test --workspace

# The whole path as separate processes, one line a step. Logs go to target/demo.
demo: build
	target/debug/dyketally-lab demo

# Faults on real processes, judged by the history checker. Logs go to target/faults.
faults: build
	target/debug/dyketally-lab faults
