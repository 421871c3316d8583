VENV = .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: run test structs settings-page faults fuzz long-run bench format clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

run: $(STAMP)
	$(PYTHON) -m fireflyward demo
	$(PYTHON) -m tests.platform_standins

test: $(STAMP)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -W error::ResourceWarning -m tests

bench: $(STAMP)
	$(PYTHON) -m fireflyward bench --report build/report
	$(PYTHON) -m benchmarks.entry_cost

structs: $(STAMP)
	$(PYTHON) -m fireflyward.peers
	$(PYTHON) -m ruff format -q fireflyward

settings-page: $(STAMP)
	$(PYTHON) -m fireflyward settings --reference > docs/SETTINGS.md

faults: $(STAMP)
	$(PYTHON) -m tests.faults

fuzz: $(STAMP)
	FUZZ_EXAMPLES=$${FUZZ_EXAMPLES:-3000} $(PYTHON) -m unittest discover -s tests/fuzz -t .

long-run: $(STAMP)
	$(PYTHON) -m tests.long_run

format: $(STAMP)
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

clean:
	rm -rf build .ruff_cache .hypothesis
