//! The router's handle on its ledger: each request that was reported has an entry or is counted as lost, once, also
//! where another process holds the files when this one stops.

mod standins;

use fawnstream::config::ledger::{Ledger, Sink};
use fawnstream::exchange::Call;
use fawnstream::usage::UsageLedger;
use fawnstream_ledger::batch::Step;
use fawnstream_ledger::entry::{Outcome, Record};
use fawnstream_ledger::recorder::RequestUsage;
use fawnstream_ledger::store::{LogWriter, StoreError, read_all};
use shedrelay::RequestId;
use shedrelay_settings::Names;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const ROUTER: &str = "n0";
const SEGMENT_BYTES: u64 = 64 * 1024 * 1024;

fn settings(folder: &Path) -> Ledger {
    Ledger {
        folder: folder.to_owned(),
        period_ms: 3_600_000,
        grace_ms: 120_000,
        join_ms: 60_000,
        sync: Duration::from_millis(5),
        segment: SEGMENT_BYTES,
        sink: None,
    }
}

/// Starts a ledger that waits for its files.
fn start_waiting(folder: &Path) -> Rc<UsageLedger> {
    let names = Names { classes: vec![], kinds: vec![], tenants: vec![], zones: vec![] };
    UsageLedger::start(settings(folder), ROUTER, &names, &[], true).unwrap()
}

/// Another process that has the ledger's files.
fn hold_files(folder: &Path) -> LogWriter<Record> {
    LogWriter::open(folder, "usage", ROUTER, SEGMENT_BYTES, drop).unwrap().0
}

fn start_request(ledger: &UsageLedger, number: u64) {
    let call = Call::taken_over(number.to_string(), None, Duration::ZERO, 90.0);
    ledger.request_started(RequestId(number), &call, "donaupay");
}

fn end_request(ledger: &UsageLedger, number: u64) {
    let used = RequestUsage {
        label: number.to_string(),
        class: "log-chat".to_owned(),
        outcome: Outcome::Served,
        answer_began: true,
        reported_tokens: None,
        declared_prompt_tokens: 90,
    };
    ledger.request_ended(RequestId(number), used);
}

/// Requests that start and end.
fn serve_requests(ledger: &UsageLedger, numbers: std::ops::Range<u64>) {
    numbers.for_each(|number| {
        start_request(ledger, number);
        end_request(ledger, number);
    });
}

/// Stops a ledger; returns how long that took.
fn stop(ledger: &UsageLedger) -> Duration {
    let started = Instant::now();
    actix_rt::System::new().block_on(ledger.stop());
    started.elapsed()
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

fn entries_on_disk(folder: &Path) -> u64 {
    let mut entries = 0;
    let add = |record: Record| entries += u64::from(matches!(record, Record::Entry(_)));
    read_all::<Record>(folder, "usage", add).unwrap();
    entries
}

/// A stop must not wait for another process that has the files, and counts what could not be written.
#[test]
fn stop_while_another_process_has_the_files_is_bounded_and_counts() {
    let folder = tempfile::tempdir().unwrap();
    let other = hold_files(folder.path());
    let ledger = start_waiting(folder.path());
    serve_requests(&ledger, 0..5);
    // Two that never ended.
    (5..7).for_each(|number| start_request(&ledger, number));
    assert_eq!(count(&ledger.status().waiting), 5);
    let took = stop(&ledger);
    assert!(took < Duration::from_secs(4), "{took:?}");
    let status = ledger.status();
    assert_eq!((count(&status.lost), count(&status.entries), count(&status.waiting)), (7, 0, 0));
    // What was counted as lost is not written when the files are free, either.
    drop(other);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(entries_on_disk(folder.path()), 0);
}

/// Files that are let go of during the stop are still written to.
#[test]
fn files_that_are_free_during_the_stop_get_all_entries() {
    let folder = tempfile::tempdir().unwrap();
    let other = hold_files(folder.path());
    let ledger = start_waiting(folder.path());
    serve_requests(&ledger, 0..5);
    let release = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(500));
        drop(other);
    });
    stop(&ledger);
    release.join().unwrap();
    let status = ledger.status();
    assert_eq!((count(&status.lost), count(&status.entries)), (0, 5));
    assert_eq!(entries_on_disk(folder.path()), 5);
}

/// Requests beyond the queue are lost once each, whichever of their events found no room; all others have an entry.
#[test]
fn requests_beyond_the_queue_are_counted_once() {
    const REQUESTS: u64 = 10_000;
    let folder = tempfile::tempdir().unwrap();
    let other = hold_files(folder.path());
    let ledger = start_waiting(folder.path());
    (0..REQUESTS).for_each(|number| start_request(&ledger, number));
    (0..REQUESTS).for_each(|number| end_request(&ledger, number));
    let lost = count(&ledger.status().lost);
    assert!(lost > 0 && lost < REQUESTS, "{lost} of {REQUESTS} are lost");
    drop(other);
    stop(&ledger);
    let status = ledger.status();
    assert_eq!((count(&status.lost), count(&status.entries)), (lost, REQUESTS - lost));
    assert_eq!(entries_on_disk(folder.path()), REQUESTS - lost);
}

/// A process that waits for the files has them as soon as they are free. If it looked only now and then, a process that
/// starts later could take them first, and keep them for as long as it runs.
#[test]
fn files_go_to_the_process_that_waits() {
    for _ in 0..10 {
        let folder = tempfile::tempdir().unwrap();
        let other = hold_files(folder.path());
        let ledger = start_waiting(folder.path());
        std::thread::sleep(Duration::from_millis(20));
        drop(other);
        std::thread::sleep(Duration::from_millis(30));
        let later = LogWriter::<Record>::open(folder.path(), "usage", ROUTER, SEGMENT_BYTES, drop);
        assert!(matches!(later, Err(StoreError::Locked { .. })));
        stop(&ledger);
    }
}

/// The files of the export are let go of a moment after the ledger's own. A process that waited for them must export.
#[test]
fn export_waits_for_its_files() {
    let folder = tempfile::tempdir().unwrap();
    let other = hold_files(folder.path());
    let other_export =
        LogWriter::<Step>::open(folder.path(), "export", ROUTER, SEGMENT_BYTES, drop).unwrap().0;
    let sink = standins::start_server(|_, _| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()));
    let sink = Sink { address: sink, path: "/".to_owned() };
    let names = Names { classes: vec![], kinds: vec![], tenants: vec![], zones: vec![] };
    let settings = Ledger { sink: Some(sink), ..settings(folder.path()) };
    let ledger = UsageLedger::start(settings, ROUTER, &names, &[], true).unwrap();
    start_request(&ledger, 1);
    end_request(&ledger, 1);
    drop(other);
    std::thread::sleep(Duration::from_millis(200));
    drop(other_export);
    let until = Instant::now() + standins::STEP_TIMEOUT;
    while count(&ledger.status().exported) == 0 {
        assert!(Instant::now() < until, "nothing is exported");
        std::thread::sleep(Duration::from_millis(5));
    }
    stop(&ledger);
}
