#!/bin/sh
# Builds the stand-ins of the cases: store, workers, clients. Rust's standard library only, no network.
cd "$(dirname "$0")/.." && mkdir -p target/review && rustc --edition 2021 -O review/standin.rs -o target/review/standin
