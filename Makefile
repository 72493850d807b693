.PHONY: build test lint run
CONFIG ?= config.json

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	PROXY_CONFIG=$(CONFIG) target/release/fawnstream
