PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: test faults emulate soak demo check generate format measure

test: $(READY)
	$(BIN)/python -m tests

# A longer sequence of faults: make faults SEED=7 STEPS=40
faults: $(READY)
	$(BIN)/python -m tests.mixed_faults $(or $(SEED),1) $(or $(STEPS),12)

# Emulated fleets under faults, in virtual time: make emulate SEEDS=1-50
emulate: $(READY)
	$(BIN)/python -m emulator --seeds $(or $(SEEDS),1-5)

# Real processes under faults injected from outside: make soak SEEDS=1-50
soak: $(READY)
	$(BIN)/python -m soak --seeds $(or $(SEEDS),1-3)

demo: $(READY)
	$(BIN)/python -m standins.demo

check: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy dandelionknot emulator soak standins tools measure
	$(BIN)/python tools/generate.py --check
	$(BIN)/python tools/generate_docs.py --check
	$(BIN)/python -m tools.generate_catalogues --check

generate: $(READY)
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/generate_docs.py
	$(BIN)/python -m tools.generate_catalogues

measure: $(READY)
	$(BIN)/python -m measure

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# The lock file pins every dependency, tools included.
$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)
