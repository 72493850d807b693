//! Command line for usage ledgers: checks a ledger, reconciles those of several routers, and writes corrections.

use clap::{Parser, Subcommand};
use fawnstream_ledger::entry::{EntryId, Record, Tokens};
use fawnstream_ledger::reconcile::{MergedLedgers, Reconciliation, UsageTotal};
use fawnstream_ledger::recorder::{Recorder, RecorderConfig};
use fawnstream_ledger::store::{LogWriter, StoreError, read_all};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// The file name prefix of usage ledgers.
const USAGE: &str = "usage";

#[derive(Parser)]
#[command(name = "fawnstream-ledger", about = "Checks, corrects and reconciles usage ledgers")]
struct Args {
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Reads a whole ledger and prints a summary
    Check {
        /// The ledger's folder
        folder: PathBuf,
    },
    /// Merges the ledgers of several routers: totals by period and tenant, and findings to examine
    Reconcile {
        /// The ledgers' folders
        #[arg(required = true)]
        folders: Vec<PathBuf>,
        /// A repeated request within this many seconds of the first one is a retry of it
        #[arg(long, default_value_t = 60)]
        join_s: u64,
        /// Print JSON, one line for each total or finding
        #[arg(long)]
        json: bool,
    },
    /// Adds a correction of an entry to its ledger, in a period that is open now; its router must be stopped
    Correct {
        /// The ledger's folder
        folder: PathBuf,
        /// The number of the entry to correct
        #[arg(long)]
        entry: u64,
        /// Prompt tokens to add; may be negative
        #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
        prompt: i64,
        /// Answer tokens to add; may be negative
        #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
        written: i64,
        /// The reason for the correction
        #[arg(long)]
        reason: String,
        /// The length of a period in seconds, as configured for the router
        #[arg(long, default_value_t = 3600)]
        period_s: u64,
        /// Seconds after the end of a period until it closes
        #[arg(long, default_value_t = 120)]
        grace_s: u64,
    },
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("{}: no ledger found", .0.display())]
    Empty(PathBuf),
    #[error("two of the ledgers belong to {0}")]
    DuplicateOwner(String),
    #[error("entry {0} does not exist or is itself a correction")]
    NoEntry(u64),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Reads a ledger; returns its owner, and whether its end was torn.
fn read_ledger(folder: &Path, mut on_record: impl FnMut(Record)) -> Result<(String, bool), Failure> {
    let (owner, torn) = read_all(folder, USAGE, &mut on_record)?;
    if owner.is_empty() {
        return Err(Failure::Empty(folder.to_owned()));
    }
    Ok((owner, torn))
}

fn check(folder: &Path) -> Result<(), Failure> {
    let (mut entries, mut last, mut closed, mut gaps) = (0u64, 0, None, 0u64);
    let (owner, torn) = read_ledger(folder, |record| match record {
        Record::Entry(entry) => {
            entries += 1;
            gaps += u64::from(entry.number != last + 1);
            last = entry.number;
        }
        Record::Closed { period, .. } => closed = Some(period),
    })?;
    let closed = closed.map_or_else(|| "none".to_owned(), |period| period.to_string());
    println!("router={owner} entries={entries} last={last} closed={closed} gaps={gaps} torn={torn}");
    Ok(())
}

fn format_total(name: &str, total: &UsageTotal) -> String {
    let UsageTotal { requests, inexact, prompt, kept, written } = total;
    format!(
        "{name}: {requests} requests ({inexact} inexact), {prompt} prompt ({kept} kept), {written} written"
    )
}

fn print(result: &Reconciliation, json: bool) -> Result<(), Failure> {
    for ((period, tenant), usage) in &result.totals {
        if json {
            println!("{}", serde_json::json!({"period": period, "tenant": tenant, "use": usage}));
        } else {
            println!(
                "period {period} {tenant}\n  {}\n  {}",
                format_total("within", &usage.within),
                format_total("beyond", &usage.beyond)
            );
        }
    }
    for finding in &result.findings {
        println!("{}", serde_json::to_string(finding)?);
    }
    Ok(())
}

fn reconcile(folders: &[PathBuf], join_s: u64, json: bool) -> Result<(), Failure> {
    let (mut merged, mut owners) = (MergedLedgers::default(), Vec::new());
    for folder in folders {
        let mut records = Vec::new();
        let (owner, _) = read_ledger(folder, |record| records.push(record))?;
        if owners.contains(&owner) {
            return Err(Failure::DuplicateOwner(owner));
        }
        merged.add(&owner, records);
        owners.push(owner);
    }
    print(&merged.reconcile(join_s.saturating_mul(1_000)), json)
}

fn run(call: Call) -> Result<(), Failure> {
    match call {
        Call::Check { folder } => check(&folder),
        Call::Reconcile { folders, join_s, json } => reconcile(&folders, join_s, json),
        Call::Correct { folder, entry, prompt, written, reason, period_s, grace_s } => {
            let mut records: Vec<Record> = Vec::new();
            let (owner, _) = read_ledger(&folder, |record| records.push(record))?;
            let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            let (period_ms, grace_ms) = (period_s.saturating_mul(1_000), grace_s.saturating_mul(1_000));
            let config = RecorderConfig {
                router: owner.clone(),
                period_ms,
                grace_ms,
                join_ms: 0,
                quotas: Default::default(),
            };
            let mut recorder = Recorder::from_records(config, now_ms, records.iter());
            let original = records.iter().find_map(|record| match record {
                Record::Entry(found) if found.number == entry && found.corrects.is_none() => Some(found),
                _ => None,
            });
            let original = original.ok_or(Failure::NoEntry(entry))?;
            let tokens = Tokens { prompt, kept: 0, written };
            let id = EntryId { router: owner.clone(), number: entry };
            let correction = recorder.correct(original, id, tokens, &reason, now_ms);
            // Opening the log takes its lock, which fails while the router runs.
            let (mut log, _) = LogWriter::<Record>::open(&folder, USAGE, &owner, u64::MAX, |_| {})?;
            log.append(std::slice::from_ref(&correction))?;
            log.sync()?;
            println!("entry {} corrects {entry}", recorder.next_number() - 1);
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(Args::parse().call) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("fawnstream-ledger: {failure}");
            ExitCode::FAILURE
        }
    }
}
