//! The platform's discovery: one watch that stays open, opened again with a growing wait when it ends.

use super::{Update, Wire, moved, read_lines, watcher};
use crate::log;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// First wait before a watch is opened again; doubles up to the longest while nothing comes. Where discovery says that
/// it has too many to serve it grows further: each call that is refused there costs it time as well. A wait and the
/// time of an answer stay well under the 6 s after which news counts as told.
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
const LONGEST_REFUSED: Duration = Duration::from_millis(3_000);
/// An empty line comes every 2 s while discovery is well. After so long without one the watch is opened anew,
/// which costs nothing: a connection that died silently would never say so, and news counts as told after 6 s.
const SILENCE: Duration = Duration::from_millis(4_200);
/// The answer's head must come in this time; a silent discovery is asked again. Calls wait in turn where discovery
/// serves many: one given up early has cost its turn, and the next one waits behind it.
const HEAD: Duration = Duration::from_millis(3_600);
/// A connection is up in this time; asking again costs nothing there.
const CONNECT: Duration = Duration::from_millis(1_500);

/// Follows the list for ever, at the address that was told last. `from` is the version of the list already
/// known: a new address goes on from there, so that no news is lost between two.
///
/// `seed` spreads the waits: routers that were cut off together do not come back together.
pub async fn follow(
    mut told: watch::Receiver<SocketAddr>,
    mut from: u64,
    seed: u64,
    mut hear: impl FnMut(Update),
) {
    let mut wait = FIRST_WAIT;
    let mut tries = 0u64;
    loop {
        let before = from;
        let address = *told.borrow_and_update();
        let reason = tokio::select! {
            reason = follow_one(address, &mut from, &mut hear) => reason,
            () = moved(&mut told) => "moved",
        };
        log!("connection peer=discovery address={address} code={reason} revision={from}");
        if reason == "moved" {
            wait = FIRST_WAIT;
            continue;
        }
        let longest = if reason == "refused" { LONGEST_REFUSED } else { LONGEST_WAIT };
        wait = if from == before { (wait * 2).min(longest) } else { FIRST_WAIT };
        tries += 1;
        tokio::select! {
            () = actix_rt::time::sleep(spread(wait, seed, tries)) => {}
            () = moved(&mut told) => wait = FIRST_WAIT,
        }
    }
}

/// A wait of half to all of this, as the seed says.
fn spread(wait: Duration, seed: u64, tries: u64) -> Duration {
    let chance = crate::names::hash(&format!("{seed:x} {tries}")) >> 40;
    wait.mul_f64(0.5 + 0.5 * chance as f64 / (1u64 << 24) as f64)
}

async fn follow_one(address: SocketAddr, from: &mut u64, hear: &mut impl FnMut(Update)) -> &'static str {
    let client = watcher(CONNECT);
    let uri = format!("http://{address}/v1/servers?watch=1&from={from}");
    let asked = actix_rt::time::timeout(HEAD, client.get(uri).send()).await;
    let mut answer = match asked {
        Ok(Ok(answer)) if answer.status() == awc::http::StatusCode::OK => answer,
        Ok(Ok(answer)) if matches!(answer.status().as_u16(), 429 | 503) => return "refused",
        Ok(Ok(_)) => return "bad-status",
        Ok(Err(_)) => return "no-connection",
        Err(_) => return "silent",
    };
    read_lines(&mut answer, SILENCE, |line| {
        take(line, from, hear);
        Ok(())
    })
    .await
}

/// One line of the watch. Garbage is dropped: the list stays as it was.
fn take(line: &[u8], from: &mut u64, hear: &mut impl FnMut(Update)) {
    match serde_json::from_slice::<Wire>(line) {
        Ok(wire) => {
            *from = wire.revision;
            hear(wire.update());
        }
        Err(error) => log!("list dropped reason=bad-line error=\"{error}\""),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Routers that are refused together come back apart, and none waits longer than it should.
    #[test]
    fn waits_are_spread() {
        let waits: Vec<Duration> = (0..48).map(|seed| spread(LONGEST_REFUSED, seed, 7)).collect();
        assert!(waits.iter().all(|wait| *wait >= LONGEST_REFUSED / 2 && *wait <= LONGEST_REFUSED));
        let early = waits.iter().filter(|wait| **wait < LONGEST_REFUSED.mul_f64(0.75)).count();
        assert!((12..=36).contains(&early), "{early} of 48 in the first half");
        assert!(LONGEST_REFUSED + HEAD < Duration::from_secs(7));
    }
}
