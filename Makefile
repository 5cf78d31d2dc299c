.PHONY: build test demo run

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
