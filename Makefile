# All that a newcomer needs: `make demo` plays a deployment, `make test` passes the tests.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PIP := $(BIN)/python -m pip install --quiet --disable-pip-version-check
ARGS ?=

.PHONY: demo test install clean

demo: install
	$(BIN)/ottercleat demo $(ARGS)

test: $(VENV)/dev
	PATH="$(CURDIR)/$(BIN):$$PATH" bash -euo pipefail -c "$$(sed -n '/^<!-- test command -->$$/,/^```$$/p' README.md | grep -v -e '^<!--' -e '^```')"

install: $(VENV)/lab

$(VENV)/bin/python:
	$(PYTHON) -m venv $(VENV)

$(VENV)/lab: requirements.txt requirements-tier.txt requirements-lab.txt pyproject.toml | $(VENV)/bin/python
	$(PIP) -r requirements-lab.txt
	$(PIP) --no-deps -e .
	touch $@

$(VENV)/dev: requirements-dev.txt $(VENV)/lab
	$(PIP) -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(VENV)
