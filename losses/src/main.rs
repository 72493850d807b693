//! `fawnstream-losses`: reports from router logs which requests were lost, and to which causes.

use clap::Parser;
use fawnstream_losses::{LogParser, LossReport, Total};
use std::fs::File;
use std::io::{self, BufRead as _, BufReader, Write as _};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Classifies every request of router logs as served in time or lost to one cause
#[derive(Parser)]
#[command(name = "fawnstream-losses", version)]
struct Arguments {
    /// Log files, one for each router, or folders of them
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Also print causes by class
    #[arg(long)]
    classes: bool,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{path}: {error}")]
    File { path: PathBuf, error: io::Error },
    #[error("no requests in {0} log files")]
    Empty(usize),
    #[error("output: {0}")]
    Output(#[from] io::Error),
}

/// Adds the files under a path, in sorted order.
fn collect_files(path: &Path, found: &mut Vec<PathBuf>) -> Result<(), Failure> {
    let failed = |error| Failure::File { path: path.to_owned(), error };
    if !path.is_dir() {
        found.push(path.to_owned());
        return Ok(());
    }
    let mut children: Vec<PathBuf> = std::fs::read_dir(path)
        .map_err(failed)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<Result<_, _>>()
        .map_err(failed)?;
    children.sort();
    children.iter().try_for_each(|path| collect_files(path, found))
}

fn read_log(path: &Path) -> Result<LossReport, Failure> {
    let failed = |error| Failure::File { path: path.to_owned(), error };
    let (mut parser, mut input) = (LogParser::default(), BufReader::new(File::open(path).map_err(failed)?));
    let mut line = Vec::new();
    // Lines of other programs may not be UTF-8.
    while input.read_until(b'\n', &mut line).map_err(failed)? > 0 {
        parser.parse_line(String::from_utf8_lossy(&line).trim_end());
        line.clear();
    }
    Ok(parser.report())
}

/// Writes a row for each cause, the largest worth first.
fn write_causes(
    out: &mut impl io::Write,
    asked_worth: f64,
    lost: &std::collections::BTreeMap<fawnstream_losses::Cause, Total>,
) -> io::Result<()> {
    let mut rows: Vec<_> = lost.iter().collect();
    rows.sort_by(|a, b| b.1.worth.total_cmp(&a.1.worth));
    for (cause, total) in rows {
        let name = serde_json::to_value(cause).ok().and_then(|name| Some(name.as_str()?.to_owned()));
        let percent = 100.0 * total.worth / asked_worth.max(1e-9);
        writeln!(
            out,
            "{:<28} {:>8} {:>10.1} {:>6.2}",
            name.unwrap_or_default(),
            total.requests,
            total.worth,
            percent
        )?;
    }
    Ok(())
}

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (mut paths, mut report) = (Vec::new(), LossReport::default());
    arguments.logs.iter().try_for_each(|path| collect_files(path, &mut paths))?;
    for path in &paths {
        report.merge(read_log(path)?);
    }
    if report.asked.requests == 0 {
        return Err(Failure::Empty(paths.len()));
    }
    let mut out = io::stdout().lock();
    if arguments.json {
        serde_json::to_writer_pretty(&mut out, &report).map_err(io::Error::from)?;
        return Ok(writeln!(out)?);
    }
    let asked_worth = report.asked.worth;
    writeln!(out, "{:<28} {:>8} {:>10} {:>6}", "", "requests", "worth", "%")?;
    writeln!(out, "{:<28} {:>8} {:>10.1} {:>6.2}", "asked", report.asked.requests, asked_worth, 100.0)?;
    let in_time_percent = 100.0 * report.in_time.worth / asked_worth.max(1e-9);
    writeln!(
        out,
        "{:<28} {:>8} {:>10.1} {:>6.2}",
        "served in time", report.in_time.requests, report.in_time.worth, in_time_percent
    )?;
    write_causes(&mut out, asked_worth, &report.lost)?;
    for (class, lost) in report.lost_of.iter().filter(|_| arguments.classes) {
        writeln!(out, "\n{class}")?;
        write_causes(&mut out, asked_worth, lost)?;
    }
    if report.unread > 0 {
        writeln!(out, "\n{} lines could not be read", report.unread)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader of the output closed it.
        Err(Failure::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("fawnstream-losses: {failure}");
            ExitCode::FAILURE
        }
    }
}
