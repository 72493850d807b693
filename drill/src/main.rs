//! `shedrelay-drill`: adapter between [`shedrelay`] and a simulator that speaks JSON lines on stdin and stdout.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut adapter = wire::Adapter::default();
    let mut line = String::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        match input.read_line(&mut line) {
            Ok(0) => return adapter.handle_end(),
            Ok(_) => {}
            Err(error) => return Err(format!("line {line_number}: {error}")),
        }
        let reply =
            adapter.handle_line(line.trim_end()).map_err(|error| format!("line {line_number}: {error}"))?;
        if let Some(reply) = reply {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("output: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("shedrelay-drill: {message}");
            ExitCode::FAILURE
        }
    }
}
