# Every target makes its own environment first; `VENV` may name another one.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SEED ?= 1
# Tests run side by side; each has its own seed and addresses.
WORKERS ?= 6
STEPS ?= 20000
RUNS ?= 5
CODE := apricottally platform standins demo bench soak checking tests

export PYTHONPATH := $(CURDIR):$(CURDIR)/platform

.PHONY: all demo test bench soak faults format lint types unit

all: test

$(VENV)/.installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --no-deps -r requirements.lock
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo

bench: $(VENV)/.installed
	$(BIN)/python -m bench

soak: $(VENV)/.installed
	$(BIN)/python -m soak --seed $(SEED) --steps $(STEPS)

# Real processes with faults from outside, a run of 12 s a seed.
faults: $(VENV)/.installed
	$(BIN)/python -m tests.faults --seed $(SEED) --runs $(RUNS) --seconds 12

format: $(VENV)/.installed
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)

types: $(VENV)/.installed
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(WORKERS)

test: lint types unit
