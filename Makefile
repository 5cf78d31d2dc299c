.PHONY: build test demo run test-long

build:
	go build -o bin/ ./cmd/...

test:
	go test -race ./...

# demo runs a whole system on loopback, submits a ticket and sends requests.
demo: build
	./bin/trefoilkeel demo

# run leaves the same system running until it is interrupted.
run: build
	./bin/trefoilkeeld --embedded

# test-long runs the agreement's histories at fresh seeds, which it prints.
# CASES is the number of histories, of about 300 steps each.
CASES ?= 5000
test-long:
	CONSENSUS_LONG_CASES=$(CASES) go test -v -count=1 -timeout 0 -run TestPropertiesLong ./internal/consensus
