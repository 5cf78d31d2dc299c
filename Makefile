.PHONY: build test demo run drill

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

# drill kills, pauses and restarts real processes under a light load. SEED
# chooses the order and the victims.
SEED ?= 20261203
drill: build
	go test ./internal/drill -count=1 -v -run TestDrill -drill.bin=$(CURDIR)/bin/trefoilkeeld -drill.seed=$(SEED)
