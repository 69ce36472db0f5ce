# README.md explains each target.
BIN := bin

.PHONY: build test soak lint demo measure capacity clean

build:
	go build -o $(BIN)/ ./cmd/...

test:
	./scripts/test

soak:
	./scripts/soak

lint:
	./scripts/lint

demo: build
	./$(BIN)/standin demo

measure: build
	./$(BIN)/standin measure

capacity: build
	./$(BIN)/standin capacity

clean:
	rm -rf $(BIN)
