# Every target first installs the packages pinned in requirements.lock.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
WORKLOAD ?= linjeringsbyran
# Soak test: first seed (0 for a random one), and the minutes after which no
# new run starts.
SEED ?= 0
MINUTES ?= 5
# Only the tests listed in KNOWN-RED.txt are deselected; their names are
# printed.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt)

.PHONY: install test lint typecheck format demo bench soak

$(BIN)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.lock
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

install: $(BIN)/.installed

test: install
	@for t in $(KNOWN_RED); do echo "known red, not run: $$t"; done
	$(BIN)/python -m pytest $(addprefix --deselect=,$(KNOWN_RED))

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

typecheck: install
	$(BIN)/mypy

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: install
	$(BIN)/python -m tests.demo $(WORKLOAD)

bench: install
	$(BIN)/python -m bench

soak: install
	$(BIN)/python -m tests.soak --seed $(SEED) --minutes $(MINUTES)
