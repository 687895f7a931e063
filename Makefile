# Entry points for people; CMake does the work.
.PHONY: all install test demo format lint capacity

all: install
	cmake --preset release
	cmake --build --preset release

install:
	bash .ci/install

test: all
	bash .ci/test

demo: all
	bash tools/demo/run.sh

format:
	bash .ci/format

lint:
	bash .ci/lint

# Measures the slopes behind docs/CAPACITY.md and draws its plots.
capacity: all
	bash bench/capacity.sh
