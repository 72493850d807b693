//! The platform's discovery: one watch that stays open, opened again when it ends.

use super::{Indented, Update, RawUpdate, moved, read_lines, watcher};
use crate::log;
use fawnstream_fleet::discovery_calls::{CallEnd, CallPacer, ListSource, WATCH_TIMEOUT};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Follows the list for ever, at the address that was told last. `from` is the version of the list already
/// known: a new address goes on from there, so that no news is lost between two. `calls` says when to call.
pub async fn follow(
    mut told: watch::Receiver<SocketAddr>,
    from: u64,
    mut calls: CallPacer,
    manner: ListSource,
    mut hear: impl FnMut(Update),
) {
    let mut wait = manner.cap_delay(calls.first_delay());
    let mut known = Known { from, last_synced: None };
    loop {
        tokio::select! {
            () = actix_rt::time::sleep(wait) => {}
            () = moved(&mut told) => calls.reset(),
        }
        let address = *told.borrow_and_update();
        let called = Instant::now();
        let mut stood = false;
        let reason = tokio::select! {
            reason = follow_one(address, manner, &mut known, &mut stood, &mut hear) => reason,
            () = moved(&mut told) => "moved",
        };
        log!("connection peer=discovery address={address} code={reason} revision={}", known.from);
        let told = match reason {
            "moved" => {
                calls.reset();
                Duration::ZERO
            }
            // What stands there may stand there again.
            "bad-list" => calls.next_delay(CallEnd::Unavailable, Duration::ZERO),
            _ if stood => calls.next_delay(CallEnd::WatchEnded, Duration::ZERO),
            // A call that was taken and told nothing waited in vain, as one that is refused does.
            "refused" | "broken" | "ended" => calls.next_delay(CallEnd::Refused, called.elapsed()),
            _ => calls.next_delay(CallEnd::Unavailable, called.elapsed()),
        };
        wait = manner.cap_delay(told);
    }
}

/// What is known of the list.
struct Known {
    /// Its version.
    from: u64,
    /// When it was last known to be up to date; none before the first news.
    last_synced: Option<Instant>,
}

/// `stood` tells whether anything came, an empty line at least.
async fn follow_one(
    address: SocketAddr,
    manner: ListSource,
    known: &mut Known,
    stood: &mut bool,
    hear: &mut impl FnMut(Update),
) -> &'static str {
    let client = watcher(manner.connect_timeout());
    let uri = format!("http://{address}/v1/servers?watch=1&from={}", known.from);
    let asked = actix_rt::time::timeout(manner.head_timeout(), client.get(uri).send()).await;
    let mut answer = match asked {
        Ok(Ok(answer)) if answer.status() == awc::http::StatusCode::OK => answer,
        Ok(Ok(answer)) if matches!(answer.status().as_u16(), 429 | 503) => return "refused",
        Ok(Ok(_)) => return "bad-status",
        Ok(Err(_)) => return "no-connection",
        Err(_) => return "silent",
    };
    let mut indented = Indented::default();
    read_lines(&mut answer, WATCH_TIMEOUT, |line| {
        *stood = true;
        let mut read = Ok(());
        indented.line(line, |text| {
            if read.is_ok() {
                read = take(text, known, hear);
            }
        });
        // An empty line says that nothing has changed.
        if line.trim_ascii().is_empty() && known.last_synced.is_some() {
            known.last_synced = Some(Instant::now());
        }
        read
    })
    .await
}

/// One piece of news. Garbage changes nothing; what it was to tell is asked for anew, after the version that is known.
/// Guards against news behind it that hides that something was missed.
fn take(line: &[u8], known: &mut Known, hear: &mut impl FnMut(Update)) -> Result<(), &'static str> {
    match serde_json::from_slice::<RawUpdate>(line) {
        Ok(raw) => {
            known.from = raw.revision;
            hear(raw.into_update(known.last_synced.replace(Instant::now())));
            Ok(())
        }
        Err(error) => {
            log!("list dropped reason=bad-line error=\"{error}\"");
            Err("bad-list")
        }
    }
}
