//! The ledgers' command line: checks ledgers, and reconciles those of several routers.

use clap::{Parser, Subcommand};
use fawnstream_ledger::entry::{EntryId, Record, Tokens};
use fawnstream_ledger::reconcile::{MergedLedgers, Reconciliation, UsageTotal};
use fawnstream_ledger::recorder::{Recorder, RecorderConfig};
use fawnstream_ledger::store::{LogWriter, StoreError, read_all};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// The kind of files that a usage ledger is.
const USAGE: &str = "usage";

#[derive(Parser)]
#[command(name = "fawnstream-ledger", about = "Checks, corrects and reconciles usage ledgers")]
struct Args {
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Reads a ledger whole and says what it holds
    Check {
        /// Its folder
        folder: PathBuf,
    },
    /// Puts the ledgers of several routers together: totals by period and tenant, and what to look at
    Reconcile {
        /// Their folders
        #[arg(required = true)]
        folders: Vec<PathBuf>,
        /// A repeat within so many seconds of the first try is a try of the same request
        #[arg(long, default_value_t = 60)]
        join_s: u64,
        /// JSON, one line a total or finding
        #[arg(long)]
        json: bool,
    },
    /// Writes a correction of an entry into its ledger, in a period that is open now; its router must be stopped
    Correct {
        /// Its folder
        folder: PathBuf,
        /// The entry's number
        #[arg(long)]
        entry: u64,
        /// Added to its prompt tokens
        #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
        prompt: i64,
        /// Added to its written tokens
        #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
        written: i64,
        /// Why
        #[arg(long)]
        reason: String,
        /// A period's length in seconds, as the router has it
        #[arg(long, default_value_t = 3600)]
        period_s: u64,
        /// How long after its end a period closes
        #[arg(long, default_value_t = 120)]
        grace_s: u64,
    },
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("{}: no ledger is there", .0.display())]
    Empty(PathBuf),
    #[error("two ledgers are {0}'s")]
    Twice(String),
    #[error("no entry has number {0}, or it is a correction")]
    NoEntry(u64),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

fn ledger(folder: &Path, mut hear: impl FnMut(Record)) -> Result<(String, bool), Failure> {
    let (owner, torn) = read_all(folder, USAGE, &mut hear)?;
    if owner.is_empty() {
        return Err(Failure::Empty(folder.to_owned()));
    }
    Ok((owner, torn))
}

fn check(folder: &Path) -> Result<(), Failure> {
    let (mut entries, mut last, mut closed, mut gaps) = (0u64, 0, None, 0u64);
    let (owner, torn) = ledger(folder, |record| match record {
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

fn sum(name: &str, sum: &UsageTotal) -> String {
    let UsageTotal { requests, inexact, prompt, kept, written } = sum;
    format!(
        "{name}: {requests} requests ({inexact} inexact), {prompt} prompt ({kept} kept), {written} written"
    )
}

fn print(account: &Reconciliation, json: bool) -> Result<(), Failure> {
    for ((period, tenant), line) in &account.totals {
        if json {
            println!("{}", serde_json::json!({"period": period, "tenant": tenant, "use": line}));
        } else {
            println!(
                "period {period} {tenant}\n  {}\n  {}",
                sum("within", &line.within),
                sum("beyond", &line.beyond)
            );
        }
    }
    for finding in &account.findings {
        println!("{}", serde_json::to_string(finding)?);
    }
    Ok(())
}

fn reconcile(folders: &[PathBuf], join_s: u64, json: bool) -> Result<(), Failure> {
    let (mut merged, mut owners) = (MergedLedgers::default(), Vec::new());
    for folder in folders {
        let mut records = Vec::new();
        let (owner, _) = ledger(folder, |record| records.push(record))?;
        if owners.contains(&owner) {
            return Err(Failure::Twice(owner));
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
            let (owner, _) = ledger(&folder, |record| records.push(record))?;
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            let (period_ms, grace_ms) = (period_s.saturating_mul(1_000), grace_s.saturating_mul(1_000));
            let rules = RecorderConfig {
                router: owner.clone(),
                period_ms,
                grace_ms,
                join_ms: 0,
                quotas: Default::default(),
            };
            let mut book = Recorder::from_records(rules, now, records.iter());
            let of = records.iter().find_map(|record| match record {
                Record::Entry(known) if known.number == entry && known.corrects.is_none() => Some(known),
                _ => None,
            });
            let of = of.ok_or(Failure::NoEntry(entry))?;
            let tokens = Tokens { prompt, kept: 0, written };
            let at = EntryId { router: owner.clone(), number: entry };
            let correction = book.correct(of, at, tokens, &reason, now);
            // The lock tells a running router from a stopped one.
            let (mut log, _) = LogWriter::<Record>::open(&folder, USAGE, &owner, u64::MAX, |_| {})?;
            log.append(std::slice::from_ref(&correction))?;
            log.sync()?;
            println!("entry {} corrects {entry}", book.next_number() - 1);
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
