PYTHON ?= python3
PATH := $(CURDIR)/.venv/bin:$(PATH)
export PATH
GIVEN ?= ../given/kit/sites/bc-docket-hub.toml

WORKERS ?= auto

SEEDS ?= 50
AT_ONCE ?= 3

.PHONY: build soak demo test check lint run proto bless lock sites
build:  ## what `run` needs, the command line, and the pinned test tools, in .venv
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-test.txt -c requirements-lock.txt
	cp requirements.txt .venv/requirements.txt  # deploy/balancer.toml builds anew where this differs

demo: build  ## the whole sender at work on stand-ins, 30 s
	.venv/bin/python -m kestreltrack demo

soak: build  ## drawn faults on real senders, SEEDS of them, AT_ONCE at once
	.venv/bin/python -m kestreltrack scenario soak --seeds $(SEEDS) --at-once $(AT_ONCE)

lint:
	ruff format --check .
	ruff check .
	mypy

check: build lint  ## in a minute: without the tests that start processes (tests/processes.py)
	python -m pytest -n $(WORKERS) -m "not processes and not exclusive"

test: build lint  ## all tests: over all cores, then those that need the machine to themselves
	status=0; \
	python -m pytest -n $(WORKERS) -m "not exclusive" || status=1; \
	python -m pytest -m exclusive || status=1; \
	exit $$status

run:  ## needs the GW_* variables of README.md
	exec .venv/bin/python -O -m kestreltrack

proto:  ## the messages of etcd's API, from the project's own .proto
	python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. kestreltrack/etcdapi/rpc.proto

bless:  ## after a change of the module that was meant: the standing captures anew, with what differs
	.venv/bin/python tests/captures/scripts.py

lock:  ## after a change of a requirement: what comes with them
	.venv/bin/pip freeze --exclude kestreltrack > requirements-lock.txt

sites:  ## the given site with each overlay of deploy/sites/overlays on it, for the bench
	$(PYTHON) deploy/sites/build.py $(GIVEN)
