//! The platform's discovery: one watch that stays open, opened again when it ends.

use super::{Indented, Update, Wire, moved, read_lines, watcher};
use crate::log;
use fawnstream_fleet::calls::{Call, Calls};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// An empty line comes every 2 s while discovery is well. After so long without one the watch is opened anew,
/// which costs nothing: a connection that died silently would never say so, and news counts as told after 6 s.
const SILENCE: Duration = Duration::from_millis(4_200);
/// The answer's head must come in this time; a silent discovery is asked again. Calls wait in turn where discovery
/// serves many: one given up early has cost its turn, and the next one waits behind it.
const HEAD: Duration = Duration::from_millis(3_600);
/// A connection is up in this time; asking again costs nothing there.
const CONNECT: Duration = Duration::from_millis(1_500);

/// Follows the list for ever, at the address that was told last. `from` is the version of the list already
/// known: a new address goes on from there, so that no news is lost between two. `calls` says when to call.
pub async fn follow(
    mut told: watch::Receiver<SocketAddr>,
    mut from: u64,
    mut calls: Calls,
    mut hear: impl FnMut(Update),
) {
    let mut wait = calls.first();
    loop {
        tokio::select! {
            () = actix_rt::time::sleep(wait) => {}
            () = moved(&mut told) => calls.moved(),
        }
        let address = *told.borrow_and_update();
        let mut stood = false;
        let reason = tokio::select! {
            reason = follow_one(address, &mut from, &mut stood, &mut hear) => reason,
            () = moved(&mut told) => "moved",
        };
        log!("connection peer=discovery address={address} code={reason} revision={from}");
        wait = match reason {
            "moved" => {
                calls.moved();
                Duration::ZERO
            }
            _ if stood => calls.next(Call::Stood),
            // A call that was taken and told nothing waited in vain, as one that is refused does.
            "refused" | "broken" | "ended" => calls.next(Call::Refused),
            _ => calls.next(Call::Away),
        };
    }
}

/// `stood` tells whether anything came, an empty line at least.
async fn follow_one(
    address: SocketAddr,
    from: &mut u64,
    stood: &mut bool,
    hear: &mut impl FnMut(Update),
) -> &'static str {
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
    let mut indented = Indented::default();
    read_lines(&mut answer, SILENCE, |line| {
        *stood = true;
        indented.line(line, |text| take(text, from, hear));
        Ok(())
    })
    .await
}

/// One piece of news. Garbage is dropped: the list stays as it was.
fn take(line: &[u8], from: &mut u64, hear: &mut impl FnMut(Update)) {
    match serde_json::from_slice::<Wire>(line) {
        Ok(wire) => {
            *from = wire.revision;
            hear(wire.update());
        }
        Err(error) => log!("list dropped reason=bad-line error=\"{error}\""),
    }
}
