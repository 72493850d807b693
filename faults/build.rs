//! Compiles the preloaded library with the C compiler found by the `cc` crate.

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    println!("cargo:rerun-if-changed=shim/faults.c");
    let out = PathBuf::from(std::env::var_os("OUT_DIR").unwrap_or_default()).join("libfaults.so");
    let mut command = cc::Build::new().opt_level(2).warnings(true).get_compiler().to_command();
    command.args([
        "-shared",
        "-fPIC",
        "-Wall",
        "-Wextra",
        "-Werror",
        "shim/faults.c",
        "-ldl",
        "-lpthread",
        "-o",
    ]);
    match command.arg(&out).status() {
        Ok(status) if status.success() => ExitCode::SUCCESS,
        Ok(status) => {
            eprintln!("compiling the preloaded library failed: {status}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("cannot run the C compiler: {error}");
            ExitCode::FAILURE
        }
    }
}
