//! `fawnstream-scale`: plays a plan of sizes and prints what routers cost there.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use clap::Parser;
use fawnstream_scale::plan::{Plan, PlanError};
use fawnstream_scale::point::{Bench, PointError};
use fawnstream_scale::process::{ROLE, ROUTER};
use fawnstream_scale::report::{Point, Report, ReportError};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Runs routers among hollow workers and hollow routers, at the sizes that a plan names, and fits what they cost.
#[derive(Parser)]
#[command(name = "fawnstream-scale", version)]
struct Arguments {
    /// The plan, a TOML file
    plan: PathBuf,
    /// The built router; this program plays it without one
    #[arg(long, value_name = "FILE")]
    router: Option<PathBuf>,
    /// Where all results go as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Where the figures of all points go as CSV
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Point(#[from] PointError),
    #[error(transparent)]
    Report(#[from] ReportError),
    #[error("the runtime: {0}")]
    Runtime(std::io::Error),
    #[error("interrupted")]
    Interrupted,
    #[error("{0}")]
    Router(#[from] fawnstream::program::Failure),
    #[error("{0}")]
    Usage(String),
}

fn main() -> ExitCode {
    let done = match std::env::var(ROLE).as_deref() {
        Ok(ROUTER) => route(),
        _ => run(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("fawnstream-scale: {failure}");
            ExitCode::FAILURE
        }
    }
}

/// This process is one of the real routers of a run.
fn route() -> Result<(), Failure> {
    actix_rt::System::new().block_on(fawnstream::program::run(None)).map_err(Failure::from)
}

fn arguments() -> Result<Arguments, Failure> {
    Arguments::try_parse().map_err(|error| {
        if !error.use_stderr() {
            error.exit();
        }
        let text = error.to_string();
        let line = text.lines().next().unwrap_or_default();
        Failure::Usage(line.strip_prefix("error: ").unwrap_or(line).to_owned())
    })
}

fn run() -> Result<(), Failure> {
    let arguments = arguments()?;
    let plan = Plan::load(&arguments.plan)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(Failure::Runtime)?;
    let points = runtime.block_on(play(&plan, arguments.router))?;
    // What is still open at workers and watches is of no use any more.
    runtime.shutdown_background();
    let report = Report::new(plan, points);
    print!("{}", report.rows());
    if let Some(path) = &arguments.json {
        report.write_json(path)?;
    }
    if let Some(path) = &arguments.csv {
        report.write_csv(path)?;
    }
    Ok(())
}

/// SIGINT or SIGTERM.
async fn told_to_end() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

async fn play(plan: &Plan, program: Option<PathBuf>) -> Result<Vec<Point>, Failure> {
    let bench = Bench { program, conditions: &plan.conditions, faults: &plan.fault };
    let sizes = plan.points();
    let bar = ProgressBar::new(sizes.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    let mut points = Vec::new();
    for (vary, size) in sizes {
        let what = vary.map_or_else(String::new, |vary| format!("{} {}", vary.name(), vary.of(&size)));
        bar.set_message(what);
        // A point that is given up takes its processes with it.
        let result = tokio::select! {
            result = bench.play(&size) => result?,
            () = told_to_end() => return Err(Failure::Interrupted),
        };
        points.push(Point { vary, result });
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(points)
}
