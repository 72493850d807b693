//! The platform's discovery: one watch that stays open, opened again with a growing wait when it ends.

use super::{Update, Wire, moved, read_lines, watcher};
use crate::log;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// First wait before a watch is opened again; doubles up to the longest while nothing comes.
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// An empty line comes every 2 s while discovery is well. After so long without one the watch is opened anew,
/// which costs nothing: a connection that died silently would never say so, and news counts as told after 6 s.
const SILENCE: Duration = Duration::from_millis(4_200);
/// The answer's head must come in this time; a silent discovery is asked again.
const HEAD: Duration = Duration::from_millis(1_500);

/// Follows the list for ever, at the address that was told last. `from` is the version of the list already
/// known: a new address goes on from there, so that no news is lost between two.
pub async fn follow(mut told: watch::Receiver<SocketAddr>, mut from: u64, mut hear: impl FnMut(Update)) {
    let mut wait = FIRST_WAIT;
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
        wait = if from == before { (wait * 2).min(LONGEST_WAIT) } else { FIRST_WAIT };
        tokio::select! {
            () = actix_rt::time::sleep(wait) => {}
            () = moved(&mut told) => wait = FIRST_WAIT,
        }
    }
}

async fn follow_one(address: SocketAddr, from: &mut u64, hear: &mut impl FnMut(Update)) -> &'static str {
    let client = watcher(HEAD);
    let uri = format!("http://{address}/v1/servers?watch=1&from={from}");
    let asked = actix_rt::time::timeout(HEAD, client.get(uri).send()).await;
    let mut answer = match asked {
        Ok(Ok(answer)) if answer.status() == awc::http::StatusCode::OK => answer,
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
