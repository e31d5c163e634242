PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
CELL ?= tezgah
READY := $(VENV)/.ready

.PHONY: setup demo test lint generate lock bench capacity prove \
  explore

setup: $(READY)

$(READY): requirements.lock packages/*/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation \
	  -e packages/cicadafold-schema -e packages/cicadafold \
	  -e packages/cicadafold-standins
	touch $(READY)

demo: setup
	$(BIN)/python -m cicadafold_standins.fleet.demo
	$(BIN)/python -m cicadafold_standins.demo --cell $(CELL)

MINUTES ?= 10
prove: setup
	$(BIN)/python -m cicadafold_standins.prove --cell $(CELL) \
	  --minutes $(MINUTES) $(if $(SEED),--seed $(SEED)) $(FAULTS)

test: setup
	@sed 's/^/known red: /' KNOWN-RED.txt
	$(BIN)/python -m pytest \
	  $$(sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)

FIRST ?= 1
COUNT ?= 100
explore: setup
	PYTHONHASHSEED=0 $(BIN)/python -m cicadafold_standins.simulation.explore \
	  --first $(FIRST) --count $(COUNT)

bench: setup
	$(BIN)/python -m cicadafold_standins.bench --output docs/results/cost.json
	$(BIN)/python -m cicadafold_standins.experiment \
	  --output docs/results/policies.json

capacity: setup
	$(BIN)/python -m cicadafold_standins.capacity \
	  --output docs/results/slopes.md

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 packages examples

generate: setup
	$(BIN)/python -m cicadafold_schema.generate

lock:
	pip-compile -q --generate-hashes --allow-unsafe --strip-extras \
	  --no-emit-index-url --no-emit-find-links --no-header \
	  -o requirements.lock requirements.in
