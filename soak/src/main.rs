//! `fawnstream-soak`: plays seeds or plans, prints each broken rule with its request's story, and shrinks what fails.

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

/// Stories printed for each failing play, at most.
const MOST_STORIES: usize = 3;
/// Plays that a shrinking may take.
const MOST_SHRINKING: usize = 24;

/// Plays real routers under overlapping faults and judges what clients and servers saw
#[derive(Debug, Parser)]
#[command(name = "fawnstream-soak", version)]
struct Arguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Plays this plan in place of a seed's; with --seeds again and again, with its seed and the ones after it
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Begins no further play after this time
    #[arg(long, value_name = "MINUTES")]
    minutes: Option<f64>,
    /// Plays one seed alone and keeps the routers' logs, whatever comes of it
    #[arg(long, value_name = "SEED", conflicts_with_all = ["plan", "seeds"])]
    replay: Option<u64>,
    /// Prints the seeds' plans and plays nothing
    #[arg(long)]
    draw: bool,
    /// Plays at once
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// The router's program
    #[arg(long, value_name = "FILE", default_value = "target/release/fawnstream")]
    program: PathBuf,
    /// Where failing plans, stories and logs go
    #[arg(long, value_name = "FOLDER", default_value = "target/soak")]
    out: PathBuf,
    /// Leaves failing plans as they are
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

/// What came of one play.
struct Played {
    plan: Plan,
    violations: Vec<Violation>,
    requests: usize,
    outcomes: BTreeMap<String, usize>,
    silences: Silences,
    releases: Releases,
    lateness: Duration,
}

/// Releases that routers counted, by what they were made for.
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

/// A figure of all routers at rest together.
fn total(seen: &Observations, name: &str) -> u64 {
    seen.idle_routers.iter().filter_map(|rest| rest.metrics.get(name)).sum::<f64>() as u64
}

/// What silences cost.
#[derive(Clone, Copy, Debug, Default)]
struct Silences {
    /// Calls that were sent on silent connections.
    swallowed: usize,
    /// The most that went to one server once it should have been found out.
    after_found_out: usize,
    /// Holds that were released while a call was out.
    overdue: u64,
    /// Those of them whose call was answered.
    answered: u64,
}

impl Silences {
    fn of(seen: &Observations) -> Self {
        let late = |calls: &Vec<SilencedCall>| {
            calls.iter().filter(|call| call.since_silence > SILENCE_DETECTION_TIME).count()
        };
        Silences {
            swallowed: seen.silenced_calls.values().map(Vec::len).sum(),
            after_found_out: seen.silenced_calls.values().map(late).max().unwrap_or(0),
            overdue: total(seen, "router_holds_overdue"),
            answered: total(seen, "router_holds_overdue_answered"),
        }
    }

    fn add(&mut self, other: Silences) {
        self.swallowed += other.swallowed;
        self.after_found_out = self.after_found_out.max(other.after_found_out);
        self.overdue += other.overdue;
        self.answered += other.answered;
    }
}

async fn one(plan: Plan, arguments: &Arguments, keep: bool) -> Result<Played, SoakError> {
    std::fs::create_dir_all(&arguments.out)?;
    let folder =
        tempfile::Builder::new().prefix(&format!("seed-{}-", plan.seed)).tempdir_in(&arguments.out)?;
    let seen = run_plan(&plan, &arguments.program, folder.path()).await?;
    let too_late = seen.lateness > MAX_LATENESS;
    let violations = if too_late { Vec::new() } else { judge(&seen, &plan) };
    if keep || !violations.is_empty() {
        let kept = folder.keep();
        plan.write(&kept.join("plan.toml"))?;
        std::fs::write(kept.join("violations.txt"), told(&violations, usize::MAX))?;
        println!("seed {}: kept {}", plan.seed, kept.display());
    }
    let mut outcomes = BTreeMap::new();
    for (_, happened) in seen.requests.values().flatten() {
        if let RequestEvent::Ended(outcome) = happened {
            *outcomes.entry(format!("{outcome:?}")).or_default() += 1;
        }
    }
    let (silences, releases) = (Silences::of(&seen), Releases::of(&seen));
    let (requests, lateness) = (seen.requests.len(), seen.lateness);
    Ok(Played { plan, violations, requests, outcomes, silences, releases, lateness })
}

fn told(violations: &[Violation], most: usize) -> String {
    let mut text = String::new();
    for violation in violations.iter().take(most) {
        text += &format!("  {}: {}\n", violation.check, violation.message);
        for line in &violation.trace {
            text += &format!("      {line}\n");
        }
    }
    text
}

/// The checks that were broken, and how often.
fn counts(violations: &[Violation]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    violations.iter().for_each(|violation| *counts.entry(violation.check).or_default() += 1);
    counts
}

async fn shrunk(played: &Played, arguments: &Arguments) -> Result<PathBuf, SoakError> {
    let wanted = counts(&played.violations);
    let fails = |plan: Plan| {
        let wanted = &wanted;
        async move {
            let again = one(plan, arguments, false).await;
            again.is_ok_and(|again| counts(&again.violations).keys().any(|check| wanted.contains_key(check)))
        }
    };
    let fewest = shrink(played.plan.clone(), MOST_SHRINKING, fails).await;
    let path = arguments.out.join(format!("shrunk-{}.toml", played.plan.seed));
    fewest.write(&path)?;
    println!(
        "seed {}: {} troubles of {} still fail: {}",
        fewest.seed,
        fewest.faults.len(),
        played.plan.faults.len(),
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
    let room = Arc::new(Semaphore::new(arguments.jobs.max(1)));
    let mut plays = JoinSet::new();
    for plan in plans(&arguments)? {
        let (arguments, room) = (arguments.clone(), room.clone());
        plays.spawn(async move {
            let Ok(_permit) = room.acquire_owned().await else { return Ok(None) };
            if until.is_some_and(|until| Instant::now() > until) {
                return Ok(None);
            }
            let keep = arguments.replay.is_some();
            one(plan, &arguments, keep).await.map(Some)
        });
    }
    let (mut done, mut requests, mut lateness, mut failed) = (0, 0, Duration::ZERO, Vec::new());
    let (mut again, mut void) = (Vec::new(), 0);
    let mut all = BTreeMap::new();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    let mut silences = Silences::default();
    let mut releases = Releases::default();
    loop {
        let (played, alone) = match plays.join_next().await {
            Some(Ok(played)) => (played?, false),
            Some(Err(_)) => continue,
            None => match again.pop() {
                Some(plan) => (Some(one(plan, &arguments, false).await?), true),
                None => break,
            },
        };
        let Some(played) = played else { continue };
        if played.lateness > MAX_LATENESS {
            println!("seed {}: the harness was late by {} ms", played.plan.seed, played.lateness.as_millis());
            match alone {
                true => void += 1,
                false => again.push(played.plan),
            }
            continue;
        }
        (done, requests, lateness) = (done + 1, requests + played.requests, lateness.max(played.lateness));
        silences.add(played.silences);
        releases.add(played.releases);
        for (outcome, count) in &played.outcomes {
            *outcomes.entry(outcome.clone()).or_default() += count;
        }
        if !played.violations.is_empty() {
            println!("seed {}: {:?}", played.plan.seed, counts(&played.violations));
            print!("{}", told(&played.violations, MOST_STORIES));
            counts(&played.violations).into_iter().for_each(|(check, n)| *all.entry(check).or_default() += n);
            failed.push(played);
        }
    }
    for played in failed.iter().take(if arguments.no_shrink { 0 } else { 1 }) {
        shrunk(played, &arguments).await?;
    }
    let all: BTreeMap<&str, usize> = all;
    println!("outcomes: {outcomes:?}");
    println!(
        "silences: {} calls swallowed, {} at most at one server after its first {} ms; {} holds released under a call, {} of the calls answered",
        silences.swallowed,
        silences.after_found_out,
        SILENCE_DETECTION_TIME.as_millis(),
        silences.overdue,
        silences.answered
    );
    println!(
        "releases: {} needed, {} repeated, {} under an attempt; {} attempts had waited all the same",
        releases.needed, releases.repeated, releases.under_attempt, releases.in_vain
    );
    println!(
        "{done} plays, {void} too late to judge, {requests} requests, the harness late by {} ms at most, {} failed {all:?}",
        lateness.as_millis(),
        failed.len()
    );
    Ok(failed.is_empty())
}

/// Prints plans as their files have them.
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
