//! New recordings are found when the tests are built: guards against a new one that is never played.

fn main() {
    println!("cargo::rerun-if-changed=tests/exchanges");
    println!("cargo::rerun-if-changed=build.rs");
}
