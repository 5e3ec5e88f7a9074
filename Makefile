BUILD ?= build
JOBS ?= 3

.PHONY: deps build test demo lint format format-check bench clean

deps:
	./scripts/install_deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja -DMANGOSPREAD_WARNINGS_AS_ERRORS=ON >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

# Runs all tests. Tests listed in KNOWN-RED.txt are excluded and printed.
test: build
	./scripts/run_tests.sh $(BUILD)

demo: build
	./scripts/demo.sh $(BUILD)

format:
	git ls-files -co --exclude-standard '*.cc' '*.hpp' | xargs clang-format -i

format-check:
	git ls-files -co --exclude-standard '*.cc' '*.hpp' | xargs clang-format --dry-run --Werror

lint: build
	./scripts/lint.sh $(BUILD) $(JOBS)

bench: build
	./scripts/bench.sh $(BUILD)

clean:
	rm -rf $(BUILD)
