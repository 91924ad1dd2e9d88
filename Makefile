# springmux: developer targets. `make help` lists them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.DEFAULT_GOAL := help

help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sort | awk -F':.*## ' '{printf "%-12s %s\n", $$1, $$2}'

setup: $(STAMP) ## create .venv with every pinned dependency and the springmux command

$(STAMP): requirements.lock pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $(STAMP)

lock: $(STAMP) ## write requirements.lock anew from pyproject.toml
	$(BIN)/pip-compile -q --extra dev --strip-extras --no-emit-index-url --no-emit-find-links \
		--no-emit-trusted-host --no-emit-options --no-header --output-file requirements.lock pyproject.toml

format: $(STAMP) ## format the code
	$(BIN)/ruff format src tests examples platform
	$(BIN)/ruff check --fix src tests examples platform

test: $(STAMP) ## formatter, linter, import borders, type checker, tests, crowds one at a time, a short soak
	$(BIN)/ruff format --check src tests examples platform
	$(BIN)/ruff check src tests examples platform
	$(BIN)/lint-imports
	$(BIN)/mypy
	$(BIN)/pytest -n 6 --ignore=tests/crowds --pass-over-known-red
	$(BIN)/pytest tests/crowds --pass-over-known-red
	$(BIN)/springmux lab soak --first-seed 12 --seeds 2 --nodes 6 --seconds 45

demo: $(STAMP) ## run a whole fleet on loopback under traffic, rollouts and faults
	$(BIN)/springmux lab demo

soak: $(STAMP) ## fifty seeds of signals, restarts and changes upon real processes (45 minutes)
	$(BIN)/springmux lab soak --seeds 50 --keep reports/soak

bench: $(STAMP) ## measure costs beside the bare relay and write reports/bench
	$(BIN)/springmux lab bench --report reports/bench

reference: $(STAMP) ## write docs/REFERENCE.md anew from the code
	$(BIN)/python -m springmux.cli.reference docs/REFERENCE.md

clean: ## remove what the targets above made
	rm -rf $(VENV) reports var build

.PHONY: help setup lock format test demo soak bench reference clean
