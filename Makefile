PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint generate model bench plots soak clean

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/ready
	$(BIN)/python -m troutstand.testing.demo

test: $(VENV)/ready
	$(BIN)/python tools/features.py

lint: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/pyright --pythonpath $(BIN)/python
	$(BIN)/python tools/generate.py --check
	$(BIN)/python tools/codes.py --check

generate: $(VENV)/ready
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/codes.py

model: $(VENV)/ready
	$(BIN)/python -m benchmarks.model

bench: $(VENV)/ready
	$(BIN)/python -m benchmarks.run

plots: $(VENV)/ready
	$(BIN)/python -m benchmarks.plots

clean:
	rm -rf $(VENV) .demo

soak: $(VENV)/ready
	$(BIN)/python -m benchmarks.soak
