# Seconds that `make fuzz` runs for.
TIME ?= 60

.PHONY: fuzz
fuzz: ## Fuzz the library's parts for TIME seconds, from a fresh seed or from DYKETALLY_FUZZ_SEED
	DYKETALLY_FUZZ_SECONDS=$(TIME) cargo test -p dyketally --test fuzz -- \
		--ignored --nocapture for_a_chosen_time
