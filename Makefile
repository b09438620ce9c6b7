# Development commands; see README.md.
GO ?= go
MODULES = ./core/... ./fleet/... ./measure/... ./platform/... ./standin/...
FORMATTED = core fleet measure platform standin
SEED ?= 1
N ?= 1000

.PHONY: build check format lint test demo faults measure model bench soak bench-sites

build:
	$(GO) build -o bin/ ./fleet/cmd/... ./standin/cmd/...

# check runs the same cases every time.
check: format lint test

format:
	@unformatted="$$($(GO) tool gofumpt -l $(FORMATTED))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

lint:
	$(GO) vet $(MODULES)
	bash scripts/boundary.sh
	$(GO) tool staticcheck $(MODULES)

test: build
	bash scripts/test.sh

demo: build
	demo/demo.sh

# The targets below explore more cases than check does.
faults measure model bench: export SEED := $(SEED)
faults: export N := $(N)
faults measure model bench: build
	bash scripts/$@.sh

# soak runs N seeds, starting with SEED.
soak: build
	SOAK_SEEDS=$(SEED)-$$(($(SEED) + $(N) - 1)) $(GO) test -count=1 -timeout 60m -parallel 6 -run TestSoak -v ./fleet/soak

# bench-sites plays quick scores with the users' bench, which CI doesn't have.
bench-sites:
	bash scripts/bench-sites.sh
