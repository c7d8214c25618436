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
