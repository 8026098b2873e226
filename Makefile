# The commands of the README. VENV may name an environment that exists already.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: env test lint format run serve docs measure bench-placement measure-fairness \
	measure-control measure-fleet measure-instances check-admission
.PHONY: measure-slopes fuzz soak measure-hubs

env: $(STAMP)

$(STAMP): requirements-edge.txt requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

lint: env
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: env
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	$(PYTHON) -m test

run: env
	$(PYTHON) -m standins.site run

serve: env
	$(PYTHON) -m standins.site serve

# The pages of docs/ that follow from the code.
docs: env
	$(PYTHON) -m tools.write_docs

measure-fairness: env
	$(PYTHON) -m tools.measure_fairness

# Random faults around a cold target; SEEDS of each of three kinds of worlds.
SEEDS ?= 200

check-admission: env
	$(PYTHON) -m tools.admission_world $(SEEDS)

measure-control: env
	$(PYTHON) -m tools.measure_control

# SECONDS=60 SEED=1 unless given.
fuzz: env
	$(PYTHON) -m tools.fuzz --seed=$(SEED) \
	    --seconds=$(if $(filter-out file,$(origin SECONDS)),$(SECONDS),60)

# Random faults against real processes; SEED=1 SEEDS=1 SECONDS=25 PROCESSES=4 unless given.
SEEDS_OF_SOAK = $(if $(filter-out file,$(origin SEEDS)),$(SEEDS),1)

soak: env
	$(PYTHON) -m tools.soak --seed=$(SEED) --seeds=$(SEEDS_OF_SOAK) \
	    --seconds=$(if $(filter-out file,$(origin SECONDS)),$(SECONDS),25) \
	    --processes=$(or $(PROCESSES),4)

measure-slopes: env
	$(PYTHON) -m tools.measure_slopes

bench-placement: env
	$(PYTHON) -m tools.bench_placement

# Placement and admission against baselines, in virtual time; see docs/MEASUREMENTS.md.
FLEET ?= tirnica
SEED ?= 1
SECONDS ?= 900
JSON ?=

measure: env
	$(PYTHON) -m standins.measure --fleet=$(FLEET) --seed=$(SEED) \
	    --seconds=$(SECONDS) $(if $(JSON),--json=$(JSON) --plot=$(basename $(JSON)).png)

bench-edge: env
	$(PYTHON) -m tools.bench_edge
measure-fleet: env
	$(PYTHON) -m tools.measure_fleet

measure-hubs: env
	$(PYTHON) -m tools.measure_hubs

measure-instances: env
	$(PYTHON) -m tools.measure_instances
