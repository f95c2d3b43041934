.PHONY: build test lint run serve bench

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# All tests with the race detector, but for failures that KNOWN-RED.txt names with their causes, which are printed; then a short look by the fuzzers beyond their kept texts.
test:
	go run ./lab/knownfailures KNOWN-RED.txt -count=1 -race ./...
	go test -run '^$$' -fuzz FuzzLoad -fuzztime 2000x ./config/lang
	go test -run '^$$' -fuzz FuzzFormat -fuzztime 2000x ./config/lang

lint:
	@unformatted=$$(gofmt -l cmd config controller decide internal lab logic); \
	if [ -n "$$unformatted" ]; then echo "not gofmt-clean: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	@# Decisions do no I/O and ask no clock.
	@if go list -f '{{range .Imports}}{{$$.ImportPath}} {{.}}{{"\n"}}{{end}}' ./decide/... ./logic | \
		grep -E ' (net|os|io|bufio|log|syscall|runtime|embed|database|plugin|testing)(/|$$)'; \
		then echo "imports that do I/O, in a package of decisions"; exit 1; fi
	@if grep -rnE 'time\.(Now|Since|Until|After|AfterFunc|Sleep|Tick|NewTimer|NewTicker)\b|^[[:space:]]*go ' \
		--include='*.go' --exclude='*_test.go' decide logic; \
		then echo "a clock or a goroutine in a package of decisions"; exit 1; fi
	@# Nothing is timed by the wall clock, which may be stepped.
	@if grep -rnE 'Unix(Nano|Milli|Micro)?\(\)' --include='*.go' --exclude='*_test.go' --exclude=wallclock.go \
		controller decide logic internal config; \
		then echo "a reading of the wall clock outside controller/wallclock.go"; exit 1; fi
	go run ./cmd/yarrowbarrow check deploy/*.conf
	go run ./cmd/yarrowbarrow fmt -l deploy/*.conf deploy/*/*.conf

bench:
	go test -run '^$$' -bench . -benchtime 2000x ./decide/... ./config/... ./logic

# A minute of load between stand-in engines, served with deploy/operator.conf; needs nothing else.
run: build
	bin/yarrowbarrow demo

# One controller with the example configuration; INT or TERM ends it.
serve: build
	BALANCER_CONFIG=deploy/example.json exec bin/yarrowbarrow
