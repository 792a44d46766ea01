# `make demo` and `make test` are the two commands a newcomer needs.
.PHONY: demo test bench fuzz build generate

build:
	@mkdir -p bin
	go build -o bin/ ./node/cmd/... ./standin/cmd/... ./e2e/cmd/demo

demo: build
	@scripts/demo.sh

test:
	@scripts/test.sh

bench: build
	@scripts/bench.sh

fuzz:
	@scripts/fuzz.sh

# Needs protoc; the generated code is committed, so no build calls this.
generate:
	@scripts/generate.sh
