//! The platform's discovery as a source of the list: one watch that stays open, and is opened again when it ends.

use super::{ObjectAssembler, RawUpdate, Update, read_lines, source_changed, watch_client};
use crate::log;
use fawnstream_fleet::discovery_calls::{CallEnd, CallPacer, ListSource, WATCH_TIMEOUT};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Follows the list forever, at the address that was configured last. `revision` is that of the list already known:
/// the watch at a new address resumes from there, so that no update is lost in between. `pacer` says when to call.
pub async fn follow(
    mut address_changes: watch::Receiver<SocketAddr>,
    revision: u64,
    mut pacer: CallPacer,
    source: ListSource,
    mut on_update: impl FnMut(Update),
) {
    let mut delay = source.cap_delay(pacer.first_delay());
    let mut known = Known { revision, last_synced: None };
    loop {
        tokio::select! {
            () = actix_rt::time::sleep(delay) => {}
            () = source_changed(&mut address_changes) => pacer.reset(),
        }
        let address = *address_changes.borrow_and_update();
        let called_at = Instant::now();
        let mut got_line = false;
        let reason = tokio::select! {
            reason = watch_once(address, source, &mut known, &mut got_line, &mut on_update) => reason,
            () = source_changed(&mut address_changes) => "moved",
        };
        log!("connection peer=discovery address={address} code={reason} revision={}", known.revision);
        let next_delay = match reason {
            "moved" => {
                pacer.reset();
                Duration::ZERO
            }
            // The next answer may be just as invalid.
            "bad-list" => pacer.next_delay(CallEnd::Unavailable, Duration::ZERO),
            _ if got_line => pacer.next_delay(CallEnd::WatchEnded, Duration::ZERO),
            // A call that was accepted but returned no line is paced like a refused one.
            "refused" | "broken" | "ended" => pacer.next_delay(CallEnd::Refused, called_at.elapsed()),
            _ => pacer.next_delay(CallEnd::Unavailable, called_at.elapsed()),
        };
        delay = source.cap_delay(next_delay);
    }
}

/// How far the list is known.
struct Known {
    revision: u64,
    /// When the list was last known to be up to date; `None` before the first update.
    last_synced: Option<Instant>,
}

/// Runs one watch to its end and returns the reason. `got_line` is set once any line came, even an empty one.
async fn watch_once(
    address: SocketAddr,
    source: ListSource,
    known: &mut Known,
    got_line: &mut bool,
    on_update: &mut impl FnMut(Update),
) -> &'static str {
    let client = watch_client(source.connect_timeout());
    let uri = format!("http://{address}/v1/servers?watch=1&from={}", known.revision);
    let answer = actix_rt::time::timeout(source.head_timeout(), client.get(uri).send()).await;
    let mut answer = match answer {
        Ok(Ok(answer)) if answer.status() == awc::http::StatusCode::OK => answer,
        Ok(Ok(answer)) if matches!(answer.status().as_u16(), 429 | 503) => return "refused",
        Ok(Ok(_)) => return "bad-status",
        Ok(Err(_)) => return "no-connection",
        Err(_) => return "silent",
    };
    let mut assembler = ObjectAssembler::default();
    read_lines(&mut answer, WATCH_TIMEOUT, |line| {
        *got_line = true;
        let mut applied = Ok(());
        assembler.add_line(line, |text| {
            if applied.is_ok() {
                applied = apply_update(text, known, on_update);
            }
        });
        // An empty line is a heartbeat: nothing has changed.
        if line.trim_ascii().is_empty() && known.last_synced.is_some() {
            known.last_synced = Some(Instant::now());
        }
        applied
    })
    .await
}

/// Applies one update. An invalid one changes nothing and ends the watch, so that the next watch asks for it again
/// from the known revision. Guards against later updates that hide that one was missed.
fn apply_update(
    text: &[u8],
    known: &mut Known,
    on_update: &mut impl FnMut(Update),
) -> Result<(), &'static str> {
    match serde_json::from_slice::<RawUpdate>(text) {
        Ok(raw) => {
            known.revision = raw.revision;
            on_update(raw.into_update(known.last_synced.replace(Instant::now())));
            Ok(())
        }
        Err(error) => {
            log!("list dropped reason=bad-line error=\"{error}\"");
            Err("bad-list")
        }
    }
}
