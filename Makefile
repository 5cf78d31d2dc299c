.PHONY: build test demo run drill soak test-long fuzz overhead capacity regression

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

# soak runs the platform's face as separate processes under a plan of faults that SEED decides,
# for MINUTES, and checks what callers, endpoints and operators see. docs/SOAK.md says more.
MINUTES ?= 1
soak:
	go test ./platform/soak -count=1 -v -timeout 0 -run 'TestSoak$$' -soak.length=$(MINUTES)m -soak.seed=$(SEED)

# test-long runs the agreement's histories at fresh seeds, which it prints.
# CASES is the number of histories, of about 300 steps each.
CASES ?= 5000
test-long:
	CONSENSUS_LONG_CASES=$(CASES) go test -v -count=1 -timeout 0 -run TestPropertiesLong ./internal/consensus

# overhead compares the path with a direct call, in one run.
overhead:
	go test ./internal/daemon -run XXX -bench 'FirstByte|RelayedToken|StreamMemory' -benchtime 3x

# capacity measures the slopes of docs/CAPACITY.md and prints them at the size to
# design for, in one to two minutes.
capacity:
	@cd tools && go run ./capacity ..

# regression plays the standard days of SITES on the bench at BENCH and compares them
# with the last full scores in the journal. CONTRIBUTING.md names the sites.
JOBS ?= 4
regression:
	cd tools && go build -o ../bin/regression ./regression
	./bin/regression --bench $(BENCH) --jobs $(JOBS) $(SITES)

# fuzz runs each fuzz target with FUZZ inputs. The inputs differ from run to
# run, so it is no part of the checks; the seed corpora run as plain tests.
FUZZ ?= 20000
fuzz:
	@set -e; grep -rHo --include='*_test.go' '^func Fuzz[A-Za-z0-9]*' internal cmd | sort | while IFS=: read -r file target; do \
		go test "./$$(dirname $$file)" -run XXX -fuzz "^$${target#func }$$" -fuzztime $(FUZZ)x -fuzzminimizetime 10x -parallel 4; \
	done
