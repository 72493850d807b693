//! `fawnstream-losses`: books on what routers lost, from their logs.

use clap::Parser;
use fawnstream_losses::{Book, Log, Sum};
use std::fs::File;
use std::io::{self, BufRead as _, BufReader, Write as _};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Books every request of routers' logs as served in time, or on the one cause that it was lost to.
#[derive(Parser)]
#[command(name = "fawnstream-losses", version)]
struct Arguments {
    /// Logs, one for each router, or folders of them
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// By class as well
    #[arg(long)]
    classes: bool,
    /// As JSON
    #[arg(long)]
    json: bool,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{path}: {error}")]
    File { path: PathBuf, error: io::Error },
    #[error("no request in {0} logs")]
    Empty(usize),
    #[error("output: {0}")]
    Output(#[from] io::Error),
}

/// The files under a path.
fn files(path: &Path, all: &mut Vec<PathBuf>) -> Result<(), Failure> {
    let failed = |error| Failure::File { path: path.to_owned(), error };
    if !path.is_dir() {
        all.push(path.to_owned());
        return Ok(());
    }
    let mut inside: Vec<PathBuf> = std::fs::read_dir(path)
        .map_err(failed)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<Result<_, _>>()
        .map_err(failed)?;
    inside.sort();
    inside.iter().try_for_each(|path| files(path, all))
}

fn read(path: &Path) -> Result<Book, Failure> {
    let failed = |error| Failure::File { path: path.to_owned(), error };
    let (mut log, mut from) = (Log::default(), BufReader::new(File::open(path).map_err(failed)?));
    let mut line = Vec::new();
    // A line need not be text: it is one of another program's then.
    while from.read_until(b'\n', &mut line).map_err(failed)? > 0 {
        log.line(String::from_utf8_lossy(&line).trim_end());
        line.clear();
    }
    Ok(log.book())
}

fn rows(
    out: &mut impl io::Write,
    asked: f64,
    lost: &std::collections::BTreeMap<fawnstream_losses::Cause, Sum>,
) -> io::Result<()> {
    let mut rows: Vec<_> = lost.iter().collect();
    rows.sort_by(|a, b| b.1.worth.total_cmp(&a.1.worth));
    for (cause, sum) in rows {
        let name = serde_json::to_value(cause).ok().and_then(|name| Some(name.as_str()?.to_owned()));
        let part = 100.0 * sum.worth / asked.max(1e-9);
        writeln!(
            out,
            "{:<28} {:>8} {:>10.1} {:>6.2}",
            name.unwrap_or_default(),
            sum.requests,
            sum.worth,
            part
        )?;
    }
    Ok(())
}

fn run(told: &Arguments) -> Result<(), Failure> {
    let (mut paths, mut book) = (Vec::new(), Book::default());
    told.logs.iter().try_for_each(|path| files(path, &mut paths))?;
    for path in &paths {
        book.merge(read(path)?);
    }
    if book.asked.requests == 0 {
        return Err(Failure::Empty(paths.len()));
    }
    let mut out = io::stdout().lock();
    if told.json {
        serde_json::to_writer_pretty(&mut out, &book).map_err(io::Error::from)?;
        return Ok(writeln!(out)?);
    }
    let asked = book.asked.worth;
    writeln!(out, "{:<28} {:>8} {:>10} {:>6}", "", "requests", "worth", "%")?;
    writeln!(out, "{:<28} {:>8} {:>10.1} {:>6.2}", "asked", book.asked.requests, asked, 100.0)?;
    let served = 100.0 * book.in_time.worth / asked.max(1e-9);
    writeln!(
        out,
        "{:<28} {:>8} {:>10.1} {:>6.2}",
        "served in time", book.in_time.requests, book.in_time.worth, served
    )?;
    rows(&mut out, asked, &book.lost)?;
    for (class, lost) in book.lost_of.iter().filter(|_| told.classes) {
        writeln!(out, "\n{class}")?;
        rows(&mut out, asked, lost)?;
    }
    if book.unread > 0 {
        writeln!(out, "\n{} lines could not be read", book.unread)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        // Who reads has read enough.
        Err(Failure::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("fawnstream-losses: {failure}");
            ExitCode::FAILURE
        }
    }
}
