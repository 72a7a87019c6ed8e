.PHONY: env demo test check format bench codegen

BIN := .venv/bin

env: .venv/ready

.venv/ready: requirements.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv .venv
	$(BIN)/pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		-e packages/core -e packages/wire -e packages/node -e packages/cli
	touch $@

# Starts a fleet on loopback addresses and sends one request through it.
demo: env
	$(BIN)/python examples/demo.py

# Unit tests and scenarios; ends with one line that counts both.
test: env
	$(BIN)/python tests/run.py

check: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: env
	$(BIN)/ruff check --fix --exit-zero .
	$(BIN)/ruff format .

bench: env
	$(BIN)/python bench/policies.py

# Needs the thrift compiler; its output is committed.
codegen:
	mkdir -p build
	thrift --gen py -out build packages/wire/idl/wasabitray.thrift
	cp build/wasabitray_wire/gen/*.py packages/wire/src/wasabitray_wire/gen/
