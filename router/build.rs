//! Rebuilds the tests when a recording is added: the list of recordings is made at build time, so that a new one would
//! not be played otherwise.

fn main() {
    println!("cargo::rerun-if-changed=tests/exchanges");
    println!("cargo::rerun-if-changed=build.rs");
}
