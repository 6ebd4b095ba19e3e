# Two commands do everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
DEPLOYMENT ?= adomako
SOURCES := bergamotmount

.PHONY: demo test lint format unittest bench-latency bench-overload \
	bench-config bench-slopes thrift clean

demo: $(STAMP)
	$(BIN)/python -m bergamotmount.tools.demo --deployment $(DEPLOYMENT)

test: lint unittest

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)

unittest: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m bergamotmount.tools.run_tests

bench-latency bench-overload bench-config bench-slopes: $(STAMP)
	$(BIN)/python -m bergamotmount.tools.$(subst -,_,$@)

# Only needed after a change of messages.thrift; the result is committed.
thrift:
	rm -rf build/thrift && mkdir -p build/thrift
	thrift --gen py:slots -out build/thrift bergamotmount/wire/messages.thrift
	cp build/thrift/bergamotmount/wire/gen/*.py bergamotmount/wire/gen/

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--editable '.[dev]'
	touch $@

clean:
	rm -rf $(VENV) build *.egg-info
