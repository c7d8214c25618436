MODULES := api core node replica entry operator platform cmd
PACKAGES := $(MODULES:%=./%/...)
FORMATTED := $(filter-out api,$(MODULES)) api/codec

.PHONY: test fmt vet lint race generate demo build

test: fmt vet lint race

fmt:
	@out=$$(gofmt -l $(FORMATTED)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	go vet $(PACKAGES)

lint:
	go tool staticcheck $(PACKAGES)

race:
	go test -race -timeout 20m $(PACKAGES)

build:
	go build -o bin/ ./cmd/lacewingturnd ./cmd/lacewingturn

demo:
	go run ./cmd/lacewingturnd demo

# The language server renames across all modules. It is installed by version and is
# no tool of the workspace, because its dependencies would move those of staticcheck.
GOPLS_VERSION := v0.23.0

.PHONY: gopls
gopls:
	go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# Needs protoc; the plugins are tools of the workspace.
generate:
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH="$(CURDIR)/bin:$$PATH" protoc -I api/proto --go_out=api --go_opt=module=lacewingturn.example/api \
		--connect-go_out=api --connect-go_opt=module=lacewingturn.example/api $$(find api/proto -name '*.proto')

# Writes the tables of result codes and events from the code.
.PHONY: docs
docs:
	cd cmd && go test ./internal/reference -run TestTablesMatchTheCode -count=1 -write-docs

# Measures the slopes of docs/CAPACITY.md.
.PHONY: capacity
capacity:
	go test ./cmd/internal/capacity -run XXX -bench . -benchtime 0.3s

# Plays the standard days of the users' deployments that are in force. SYSTEM is the folder of
# the users' pages that holds them. CI does not need it.
REGRESSION_SITES := sites/skoflikk-drift.toml sites/nkrr-lacewing.toml grown/skoflikk-drift-grown.toml grown/nkrr-lacewing-grown.toml \
	large/skoflikk-drift-large.toml further/akmens-darbi.toml further-grown/akmens-darbi-grown.toml shifted/skoflikk-drift-now-grown.toml \
	demands/kerlann-ops-grown.toml demands/hlpcg-sched-grown.toml
BENCH := more/bench-d17393/bin/fleetbench

.PHONY: regression
regression:
	@test -n "$(SYSTEM)" || { echo "regression: SYSTEM is not set; set it to the folder of the users' pages, for example make regression SYSTEM=path" >&2; exit 1; }
	@test -x "$(SYSTEM)/$(BENCH)" || { echo "regression: $(SYSTEM)/$(BENCH) is not there" >&2; exit 1; }
	@for site in $(REGRESSION_SITES); do "$(SYSTEM)/$(BENCH)" score "$(SYSTEM)/$$site" --why "regression" || exit 1; done

# Plays the cases of the independent reviews in review/ against the programs, RUNS times each.
# CI does not need it.
RUNS := 5

.PHONY: review
review:
	bash tools/review.sh $(RUNS)
