# Two commands are all a newcomer needs: `make demo` and `make check`.
# Each target sets up its own virtual environment first.

PYTHON ?= python3.11
VENV ?= $(CURDIR)/.venv
BIN := $(VENV)/bin
DEPLOYMENT ?= mueso
SEED ?= 1
SECONDS ?= 20
STAMP := $(VENV)/installed-$(shell cat requirements.txt pyproject.toml \
	| sha256sum | cut -c1-16)

export PYTHONPATH := $(CURDIR)/src:$(CURDIR):$(CURDIR)/platform

.PHONY: setup check format lint imports test demo model soak process-soak region-soak faults rolling costs bench capacity events

setup: $(STAMP)

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--no-build-isolation --no-deps --editable .
	touch $@

check: lint imports test

format: $(STAMP)
	$(BIN)/ruff check --fix-only --quiet .
	$(BIN)/ruff format --quiet .

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8

imports: $(STAMP)
	$(BIN)/lint-imports --no-cache

test: $(STAMP)
	$(BIN)/python -m pytest tests

demo: $(STAMP)
	$(BIN)/python -m benchmarks.demo --deployment $(DEPLOYMENT)

model: $(STAMP)
	$(BIN)/python -m benchmarks.model

soak: $(STAMP)
	$(BIN)/python -m benchmarks.soak --seed $(SEED) --seconds $(SECONDS)

process-soak: $(STAMP)
	$(BIN)/python -m benchmarks.process_soak --seed $(SEED) \
		--seconds $(SECONDS)

region-soak: $(STAMP)
	$(BIN)/python -m benchmarks.process_soak_regions --seed $(SEED) \
		--seconds $(SECONDS)

faults: $(STAMP)
	$(BIN)/python -m benchmarks.faults --deployment $(DEPLOYMENT) \
		--seed $(SEED) --seconds $(SECONDS)

rolling: $(STAMP)
	$(BIN)/python -m benchmarks.faults --deployment $(DEPLOYMENT) \
		--seed $(SEED) --rolling

costs: $(STAMP)
	$(BIN)/python -m benchmarks.costs --deployment $(DEPLOYMENT)

bench: $(STAMP)
	$(BIN)/python -m benchmarks.bench --deployment $(DEPLOYMENT)

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity

events: $(STAMP)
	$(BIN)/python -m benchmarks.event_page
