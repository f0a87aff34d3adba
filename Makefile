# Tasks of the project. Each one works on a fresh machine with Go installed.
LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test lint fmt bench model capacity

build:
	go build -o corneltiller .

test:
	go test -count=1 ./...

lint:
	$(LINT) run ./...
	$(LINT) fmt --diff

fmt:
	$(LINT) fmt

bench:
	go test -run '^$$' -bench . -benchmem ./...

model:
	spec/check

capacity:
	go run . capacity --write docs/CAPACITY.md
