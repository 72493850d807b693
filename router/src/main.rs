//! The `fawnstream` program: a router for language-model requests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use fawnstream::program::{self, RunError};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fawnstream: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), RunError> {
    // Taken over before any other descriptor is opened.
    let inherited_fd = std::env::var("PROXY_FD").ok().filter(|fd| !fd.is_empty());
    let inherited = inherited_fd.map(|fd| fawnstream_inherit::listener(&fd)).transpose()?;
    actix_rt::System::new().block_on(program::run(inherited))
}
