VENV ?= $(CURDIR)/.venv
BIN := $(VENV)/bin
SOURCES := packages tests benchmarks
export PYTHONPATH := $(CURDIR)/packages/turmericwharf/src:$(CURDIR)/packages/turmericwharf-node/src:$(CURDIR)/packages/turmericwharf-cli/src:$(CURDIR)
export PYTHONDONTWRITEBYTECODE := 1


.PHONY: setup lint test fault-matrix demo bench soak fuzz format clean

# PYTHONPATH points to the sources of this work tree, so that several work trees can share $(VENV).
setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-index --no-build-isolation $(foreach package,turmericwharf turmericwharf-node turmericwharf-cli,--editable packages/$(package))
	touch $@

format: setup
	$(BIN)/ruff format $(SOURCES)

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

# Fleet tests spend most of their time waiting, so several of them run in parallel. Tests that measure
# the memory of a node run alone, after the others.
test: lint
	$(BIN)/python -m tests.fault_matrix --check
	$(BIN)/pytest --numprocesses 5 --dist worksteal -m 'not exclusive'
	$(BIN)/pytest -m exclusive

fault-matrix: setup
	$(BIN)/python -m tests.fault_matrix

demo: setup
	$(BIN)/python -m tests.demo

SEEDS ?= 1-3
soak: setup
	$(BIN)/python -m tests.soak $(SEEDS)

SECONDS ?= 600
fuzz: setup
	$(BIN)/python -m tests.fuzz $(SECONDS)

bench: setup
	$(BIN)/python -m benchmarks.run

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis
