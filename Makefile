# Two commands matter: `make run` and `make test`; both set up `.venv` first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.ready
PACKAGES := core clients standins daemon cli soak experiments
WORKERS ?= 4

.PHONY: setup run test lint format types regress

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
	    $(foreach name,$(PACKAGES),-e packages/$(name)) -e platform
	touch $(STAMP)

run: setup
	$(BIN)/papayadyked embedded

test: setup
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile -q

format: setup
	$(BIN)/ruff format packages benchmarks examples tests platform
	$(BIN)/ruff check --fix packages benchmarks examples tests platform

lint: setup
	$(BIN)/ruff format --check packages benchmarks examples tests platform
	$(BIN)/ruff check packages benchmarks examples tests platform

types: setup
	$(BIN)/mypy $(foreach name,$(PACKAGES),packages/$(name)/src) platform/src

# Plays the regression days: make regress BENCH=PROGRAM SITES=FOLDER
regress: setup
	$(BIN)/python benchmarks/regress.py --bench $(BENCH) --sites $(SITES)
