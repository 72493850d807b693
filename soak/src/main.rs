//! `fawnstream-soak`: runs seeds or plans, prints each broken rule with its request's event trace, and shrinks plans
//! that fail.

use clap::Parser;
use fawnstream_soak::harness::{HarnessError, run_plan};
use fawnstream_soak::network::{SILENCE_DETECTION_TIME, SilencedCall};
use fawnstream_soak::oracle::{MAX_LATENESS, Violation, judge};
use fawnstream_soak::plan::{Plan, PlanError};
use fawnstream_soak::shrink::shrink;
use fawnstream_soak::trace::{Observations, RequestEvent};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Maximum number of violations printed per failing run.
const MAX_PRINTED: usize = 3;
/// Maximum number of runs to shrink a plan.
const MAX_SHRINK_RUNS: usize = 24;

/// Runs real routers under overlapping faults and checks what clients and servers observed
#[derive(Debug, Parser)]
#[command(name = "fawnstream-soak", version)]
struct Arguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Runs this plan in place of a seed's; with --seeds repeatedly, with its seed and the ones after it
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Begins no further run after this time
    #[arg(long, value_name = "MINUTES")]
    minutes: Option<f64>,
    /// Runs one seed alone and keeps the routers' logs, whatever the result
    #[arg(long, value_name = "SEED", conflicts_with_all = ["plan", "seeds"])]
    replay: Option<u64>,
    /// Prints the seeds' plans and runs nothing
    #[arg(long)]
    draw: bool,
    /// Number of parallel runs
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// The router's program
    #[arg(long, value_name = "FILE", default_value = "target/release/fawnstream")]
    program: PathBuf,
    /// Folder for failing plans, event traces and logs
    #[arg(long, value_name = "FOLDER", default_value = "target/soak")]
    out: PathBuf,
    /// Does not shrink failing plans
    #[arg(long)]
    no_shrink: bool,
}

#[derive(Debug, thiserror::Error)]
enum SoakError {
    #[error("plan: {0}")]
    Plan(#[from] PlanError),
    #[error("{0}")]
    Harness(#[from] HarnessError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// The result of one run.
struct RunResult {
    plan: Plan,
    violations: Vec<Violation>,
    requests: usize,
    outcomes: BTreeMap<String, usize>,
    silences: Silences,
    releases: Releases,
    lateness: Duration,
}

/// Releases that routers counted, by reason.
#[derive(Clone, Copy, Debug, Default)]
struct Releases {
    needed: u64,
    repeated: u64,
    under_attempt: u64,
    in_vain: u64,
}

impl Releases {
    fn of(seen: &Observations) -> Self {
        let total = |name: &str| total(seen, name);
        Releases {
            needed: total("router_releases{kind=\"needed\"}"),
            repeated: total("router_releases{kind=\"repeated\"}"),
            under_attempt: total("router_releases{kind=\"under_attempt\"}"),
            in_vain: total("router_releases_in_vain"),
        }
    }

    fn add(&mut self, other: Releases) {
        self.needed += other.needed;
        self.repeated += other.repeated;
        self.under_attempt += other.under_attempt;
        self.in_vain += other.in_vain;
    }
}

/// Sum of a metric over all routers at the end of the run.
fn total(seen: &Observations, name: &str) -> u64 {
    seen.idle_routers.iter().filter_map(|rest| rest.metrics.get(name)).sum::<f64>() as u64
}

/// Effects of silent connections.
#[derive(Clone, Copy, Debug, Default)]
struct Silences {
    /// Calls sent on silent connections.
    silenced: usize,
    /// Maximum number of calls to one server after the detection time.
    after_detection: usize,
    /// Leases released while a call was in progress.
    overdue: u64,
    /// Calls of these that were answered.
    answered: u64,
}

impl Silences {
    fn of(seen: &Observations) -> Self {
        let late = |calls: &Vec<SilencedCall>| {
            calls.iter().filter(|call| call.since_silence > SILENCE_DETECTION_TIME).count()
        };
        Silences {
            silenced: seen.silenced_calls.values().map(Vec::len).sum(),
            after_detection: seen.silenced_calls.values().map(late).max().unwrap_or(0),
            overdue: total(seen, "router_holds_overdue"),
            answered: total(seen, "router_holds_overdue_answered"),
        }
    }

    fn add(&mut self, other: Silences) {
        self.silenced += other.silenced;
        self.after_detection = self.after_detection.max(other.after_detection);
        self.overdue += other.overdue;
        self.answered += other.answered;
    }
}

async fn run_one(plan: Plan, arguments: &Arguments, keep_files: bool) -> Result<RunResult, SoakError> {
    std::fs::create_dir_all(&arguments.out)?;
    let folder =
        tempfile::Builder::new().prefix(&format!("seed-{}-", plan.seed)).tempdir_in(&arguments.out)?;
    let seen = run_plan(&plan, &arguments.program, folder.path()).await?;
    let too_late = seen.lateness > MAX_LATENESS;
    let violations = if too_late { Vec::new() } else { judge(&seen, &plan) };
    if keep_files || !violations.is_empty() {
        let kept = folder.keep();
        plan.write(&kept.join("plan.toml"))?;
        std::fs::write(kept.join("violations.txt"), format_violations(&violations, usize::MAX))?;
        println!("seed {}: kept {}", plan.seed, kept.display());
    }
    let mut outcomes = BTreeMap::new();
    for (_, event) in seen.requests.values().flatten() {
        if let RequestEvent::Ended(outcome) = event {
            *outcomes.entry(format!("{outcome:?}")).or_default() += 1;
        }
    }
    let (silences, releases) = (Silences::of(&seen), Releases::of(&seen));
    let (requests, lateness) = (seen.requests.len(), seen.lateness);
    Ok(RunResult { plan, violations, requests, outcomes, silences, releases, lateness })
}

fn format_violations(violations: &[Violation], max: usize) -> String {
    let mut text = String::new();
    for violation in violations.iter().take(max) {
        text += &format!("  {}: {}\n", violation.check, violation.message);
        for line in &violation.trace {
            text += &format!("      {line}\n");
        }
    }
    text
}

/// Number of violations by check.
fn count_by_check(violations: &[Violation]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    violations.iter().for_each(|violation| *counts.entry(violation.check).or_default() += 1);
    counts
}

async fn shrink_result(result: &RunResult, arguments: &Arguments) -> Result<PathBuf, SoakError> {
    let expected = count_by_check(&result.violations);
    let fails = |plan: Plan| {
        let expected = &expected;
        async move {
            let rerun = run_one(plan, arguments, false).await;
            rerun.is_ok_and(|rerun| {
                count_by_check(&rerun.violations).keys().any(|check| expected.contains_key(check))
            })
        }
    };
    let smallest = shrink(result.plan.clone(), MAX_SHRINK_RUNS, fails).await;
    let path = arguments.out.join(format!("shrunk-{}.toml", result.plan.seed));
    smallest.write(&path)?;
    println!(
        "seed {}: {} troubles of {} still fail: {}",
        smallest.seed,
        smallest.faults.len(),
        result.plan.faults.len(),
        path.display()
    );
    Ok(path)
}

fn plans(arguments: &Arguments) -> Result<Vec<Plan>, SoakError> {
    if let Some(path) = &arguments.plan {
        let plan = Plan::read(path)?;
        let seeds = plan.seed..plan.seed.saturating_add(arguments.seeds);
        return Ok(seeds.map(|seed| Plan { seed, ..plan.clone() }).collect());
    }
    let (first, count) = arguments.replay.map_or((arguments.seed, arguments.seeds), |seed| (seed, 1));
    Ok((first..first.saturating_add(count)).map(Plan::draw).collect())
}

async fn soak(arguments: Arguments) -> Result<bool, SoakError> {
    let arguments = Arc::new(arguments);
    let until = arguments.minutes.map(|minutes| Instant::now() + Duration::from_secs_f64(minutes * 60.0));
    let permits = Arc::new(Semaphore::new(arguments.jobs.max(1)));
    let mut runs = JoinSet::new();
    for plan in plans(&arguments)? {
        let (arguments, permits) = (arguments.clone(), permits.clone());
        runs.spawn(async move {
            let Ok(_permit) = permits.acquire_owned().await else { return Ok(None) };
            if until.is_some_and(|until| Instant::now() > until) {
                return Ok(None);
            }
            let keep_files = arguments.replay.is_some();
            run_one(plan, &arguments, keep_files).await.map(Some)
        });
    }
    let (mut judged, mut requests, mut lateness, mut failed) = (0, 0, Duration::ZERO, Vec::new());
    let (mut to_repeat, mut not_judged) = (Vec::new(), 0);
    let mut broken_checks = BTreeMap::new();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    let mut silences = Silences::default();
    let mut releases = Releases::default();
    loop {
        let (result, repeated) = match runs.join_next().await {
            Some(Ok(result)) => (result?, false),
            Some(Err(_)) => continue,
            None => match to_repeat.pop() {
                Some(plan) => (Some(run_one(plan, &arguments, false).await?), true),
                None => break,
            },
        };
        let Some(result) = result else { continue };
        if result.lateness > MAX_LATENESS {
            println!("seed {}: the harness was late by {} ms", result.plan.seed, result.lateness.as_millis());
            match repeated {
                true => not_judged += 1,
                false => to_repeat.push(result.plan),
            }
            continue;
        }
        (judged, requests, lateness) =
            (judged + 1, requests + result.requests, lateness.max(result.lateness));
        silences.add(result.silences);
        releases.add(result.releases);
        for (outcome, count) in &result.outcomes {
            *outcomes.entry(outcome.clone()).or_default() += count;
        }
        if !result.violations.is_empty() {
            println!("seed {}: {:?}", result.plan.seed, count_by_check(&result.violations));
            print!("{}", format_violations(&result.violations, MAX_PRINTED));
            count_by_check(&result.violations)
                .into_iter()
                .for_each(|(check, count)| *broken_checks.entry(check).or_default() += count);
            failed.push(result);
        }
    }
    for result in failed.iter().take(if arguments.no_shrink { 0 } else { 1 }) {
        shrink_result(result, &arguments).await?;
    }
    let broken_checks: BTreeMap<&str, usize> = broken_checks;
    println!("outcomes: {outcomes:?}");
    println!(
        "silences: {} calls swallowed, {} at most at one server after its first {} ms; {} holds released under a call, {} of the calls answered",
        silences.silenced,
        silences.after_detection,
        SILENCE_DETECTION_TIME.as_millis(),
        silences.overdue,
        silences.answered
    );
    println!(
        "releases: {} needed, {} repeated, {} under an attempt; {} attempts had waited all the same",
        releases.needed, releases.repeated, releases.under_attempt, releases.in_vain
    );
    println!(
        "{judged} plays, {not_judged} too late to judge, {requests} requests, the harness late by {} ms at most, {} failed {broken_checks:?}",
        lateness.as_millis(),
        failed.len()
    );
    Ok(failed.is_empty())
}

/// Prints plans in the format of their files.
fn print_plans(arguments: &Arguments) -> Result<(), SoakError> {
    for plan in plans(arguments)? {
        println!("{}", plan.text()?);
    }
    Ok(())
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.draw {
        if let Err(error) = print_plans(&arguments) {
            eprintln!("fawnstream-soak: {error}");
            return ExitCode::FAILURE;
        }
        return ExitCode::SUCCESS;
    }
    if !Path::new(&arguments.program).exists() {
        eprintln!("fawnstream-soak: no program at {}", arguments.program.display());
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime.map_err(SoakError::from).and_then(|runtime| runtime.block_on(soak(arguments))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fawnstream-soak: {error}");
            ExitCode::FAILURE
        }
    }
}
