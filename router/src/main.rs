//! `fawnstream`: a router for language-model requests, on sockets.
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
    // Taken over before anything else is opened.
    let told = std::env::var("PROXY_FD").ok().filter(|fd| !fd.is_empty());
    let inherited = told.map(|fd| fawnstream_inherit::listener(&fd)).transpose()?;
    actix_rt::System::new().block_on(program::run(inherited))
}
