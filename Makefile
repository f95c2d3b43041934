.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 -race ./...

lint:
	@unformatted=$$(gofmt -l cmd config controller decide internal logic); \
	if [ -n "$$unformatted" ]; then echo "not gofmt-clean: $$unformatted"; exit 1; fi
	go vet ./...

# One controller with the example configuration; INT or TERM ends it.
run: build
	BALANCER_CONFIG=deploy/example.json exec bin/yarrowbarrow
