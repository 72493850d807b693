//! `fawnstream-scale`: runs a plan of deployment sizes and prints what routers cost at each.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use clap::Parser;
use fawnstream_scale::plan::{Plan, PlanError};
use fawnstream_scale::point::{PointError, PointRunner};
use fawnstream_scale::process::{ROLE_VARIABLE, ROUTER_ROLE};
use fawnstream_scale::report::{Point, Report, ReportError};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Measures what routers cost at the deployment sizes of a plan, and fits lines to the results.
#[derive(Parser)]
#[command(name = "fawnstream-scale", version)]
struct Arguments {
    /// The plan, a TOML file
    plan: PathBuf,
    /// The router program; without it this program runs as the router
    #[arg(long, value_name = "FILE")]
    router: Option<PathBuf>,
    /// File for all results, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// File for the figures of all points, as CSV
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
    #[error("cannot start the async runtime: {0}")]
    Runtime(std::io::Error),
    #[error("interrupted")]
    Interrupted,
    #[error("{0}")]
    Router(#[from] fawnstream::program::RunError),
    #[error("{0}")]
    Usage(String),
}

fn main() -> ExitCode {
    let result = match std::env::var(ROLE_VARIABLE).as_deref() {
        Ok(ROUTER_ROLE) => run_router(),
        _ => run_plan(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("fawnstream-scale: {failure}");
            ExitCode::FAILURE
        }
    }
}

/// Runs this process as one of the real routers.
fn run_router() -> Result<(), Failure> {
    actix_rt::System::new().block_on(fawnstream::program::run(None)).map_err(Failure::from)
}

fn parse_arguments() -> Result<Arguments, Failure> {
    Arguments::try_parse().map_err(|error| {
        if !error.use_stderr() {
            error.exit();
        }
        let text = error.to_string();
        let line = text.lines().next().unwrap_or_default();
        Failure::Usage(line.strip_prefix("error: ").unwrap_or(line).to_owned())
    })
}

fn run_plan() -> Result<(), Failure> {
    let arguments = parse_arguments()?;
    let plan = Plan::load(&arguments.plan)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(Failure::Runtime)?;
    let points = runtime.block_on(run_points(&plan, arguments.router))?;
    // Does not wait for worker connections and watches that are still open.
    runtime.shutdown_background();
    let report = Report::new(plan, points);
    print!("{}", report.to_markdown());
    if let Some(path) = &arguments.json {
        report.write_json(path)?;
    }
    if let Some(path) = &arguments.csv {
        report.write_csv(path)?;
    }
    Ok(())
}

/// Returns on SIGINT or SIGTERM.
async fn stop_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

async fn run_points(plan: &Plan, program: Option<PathBuf>) -> Result<Vec<Point>, Failure> {
    let runner = PointRunner { program, conditions: &plan.conditions, faults: &plan.fault };
    let sizes = plan.points();
    let bar = ProgressBar::new(sizes.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    let mut points = Vec::new();
    for (vary, size) in sizes {
        let label = vary.map_or_else(String::new, |vary| format!("{} {}", vary.name(), vary.value_in(&size)));
        bar.set_message(label);
        // Dropping the point on a signal also ends its processes.
        let result = tokio::select! {
            result = runner.run(&size) => result?,
            () = stop_signal() => return Err(Failure::Interrupted),
        };
        points.push(Point { vary, result });
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(points)
}
