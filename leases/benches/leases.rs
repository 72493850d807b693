//! Cost of single events with 1,000 servers in three zones and 10,000 held states:
//! `cargo bench -p fawnstream-leases`.

use fawnstream_fleet::reachability::Reachability;
use fawnstream_leases::{Action, AttemptEnd, LeaseConfig, Leases, ReleaseOutcome};
use std::time::Duration;

fn main() {
    divan::main();
}

const CONFIG: LeaseConfig = LeaseConfig {
    release_within: Duration::from_millis(500),
    grace: Duration::from_millis(300),
    close_arrives_within: Duration::from_millis(60),
    max_concurrent_releases: 27,
    seed: 1,
};

/// `held` requests with a held state each, read at such a late time that none falls due.
fn filled_leases(servers: u64, held: u64) -> (Leases<u64>, Reachability) {
    let (mut leases, mut reach) = (Leases::new(CONFIG), Reachability::default());
    (0..servers).for_each(|server| reach.add(server, server as usize % 3));
    (0..held).for_each(|request| {
        leases.read_ended(request, &request, request % servers, Duration::from_secs(3_600))
    });
    (leases, reach)
}

/// A read succeeds, the writer's attempt starts, and the answer begins.
#[divan::bench(args = [(60, 600), (1_000, 10_000)])]
fn read_and_answer(bencher: divan::Bencher, (servers, held): (u64, u64)) {
    let ((mut leases, reach), mut request) = (filled_leases(servers, held), held);
    let now = Duration::from_secs(1);
    bencher.bench_local(move || {
        request += 1;
        leases.read_ended(request, &request, request % servers, now);
        let permission = leases.attempt_starts(request, now);
        leases.answer_began(request, now);
        (permission, leases.poll(now, &reach))
    });
}

/// A read is lost and its reader may be unreachable; another server is asked and answers, and the release is
/// repeated later.
#[divan::bench(args = [(60, 600), (1_000, 10_000)])]
fn lost_read_and_release(bencher: divan::Bencher, (servers, held): (u64, u64)) {
    let ((mut leases, mut reach), mut request) = (filled_leases(servers, held), held);
    let mut now = Duration::from_secs(1);
    bencher.bench_local(move || {
        request += 1;
        now += Duration::from_millis(1);
        reach.record_unreachable(request % servers, now);
        leases.read_lost(request, &request, request % servers, AttemptEnd::Unanswered, now);
        for action in leases.poll(now, &reach) {
            if let Action::SendRelease { request, server, .. } = action {
                leases.release_ended(request, server, ReleaseOutcome::Answered, now, &reach);
            }
        }
    });
}
