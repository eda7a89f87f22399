# `make demo` and `make test` do all the set-up on a machine with Python 3.11 and make.
PYTHON ?= python3
BIN := .venv/bin
PACKAGES := packages/messages packages/state packages/policy packages/entry packages/dispatch platform packages/cli packages/testbed
STAMP := .venv/.installed

.PHONY: demo test setup format lint types unit test-faults docs-check clean

setup: $(STAMP)

$(STAMP): requirements/constraints.txt requirements/dev.txt $(foreach p,$(PACKAGES),$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -c requirements/constraints.txt -r requirements/dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach p,$(PACKAGES),-e $(p))
	touch $(STAMP)

demo: setup
	$(BIN)/redwingport-testbed demo

format: setup
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform

lint: setup
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/lint-imports

types: setup
	$(BIN)/mypy

# The tests in platform/ run apart: below the root their modules would hide the standard
# library's module of that name.
unit: setup
	$(BIN)/pytest
	$(BIN)/pytest -c platform/pytest.ini --rootdir platform platform/tests

# Fault tests with real processes; prints one line per promise.
test-faults: setup
	$(BIN)/pytest packages/testbed/tests/faults

docs-check: setup
	$(BIN)/pytest packages/entry/tests/test_api_page.py
	$(BIN)/redwingport settings-reference --check docs/settings.md
	$(BIN)/python -m redwingport_dispatch.events --check docs/OPERATIONS.md

test: lint types docs-check unit

clean:
	rm -rf .venv
