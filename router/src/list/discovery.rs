//! The platform's discovery: one watch that stays open, opened again when it ends.

use super::{Indented, Update, Wire, moved, read_lines, watcher};
use crate::log;
use fawnstream_fleet::calls::{Call, Calls};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// An empty line comes every 2 s while discovery is well. After so long without one the watch has fallen silent, as a
/// connection that died does, and is opened anew: what it misses counts as told [`TOLD`] after that.
const SILENCE: Duration = Duration::from_millis(2_600);
/// News counts as told so long after a watch has fallen silent, whether it came or not.
#[cfg(test)]
const TOLD: Duration = Duration::from_secs(6);

/// How long a call may take, and how long is waited before the next one.
#[derive(Clone, Copy, Debug)]
pub enum Manner {
    /// The list is pushed to an agent on this machine, which answers at once and at no cost: a call that hangs is
    /// broken, and another one follows soon. What the agent has counts as told, also right after an outage.
    Pushed,
    /// Discovery serves many routers, and calls wait in turn: one given up early has cost its turn, and the next one
    /// waits behind it. Calls keep to a rate that holds for all routers.
    Asked,
}

impl Manner {
    /// The answer's head comes in this time.
    fn head(self) -> Duration {
        match self {
            Manner::Pushed => Duration::from_millis(900),
            Manner::Asked => Duration::from_millis(3_600),
        }
    }

    /// A connection is up in this time; asking again costs nothing there.
    fn connect(self) -> Duration {
        self.head().min(Duration::from_millis(1_500))
    }

    /// The wait before the next call, of the one that [`Calls`] say. One that breaks off each time is not called in a
    /// loop; a drained server gets new work for less than 500 ms all the same.
    fn wait(self, told: Duration) -> Duration {
        match self {
            Manner::Pushed => told.min(Duration::from_millis(150)),
            Manner::Asked => told,
        }
    }
}

/// Follows the list for ever, at the address that was told last. `from` is the version of the list already
/// known: a new address goes on from there, so that no news is lost between two. `calls` says when to call.
pub async fn follow(
    mut told: watch::Receiver<SocketAddr>,
    mut from: u64,
    mut calls: Calls,
    manner: Manner,
    mut hear: impl FnMut(Update),
) {
    let mut wait = manner.wait(calls.first());
    loop {
        tokio::select! {
            () = actix_rt::time::sleep(wait) => {}
            () = moved(&mut told) => calls.moved(),
        }
        let address = *told.borrow_and_update();
        let mut stood = false;
        let reason = tokio::select! {
            reason = follow_one(address, manner, &mut from, &mut stood, &mut hear) => reason,
            () = moved(&mut told) => "moved",
        };
        log!("connection peer=discovery address={address} code={reason} revision={from}");
        let told = match reason {
            "moved" => {
                calls.moved();
                Duration::ZERO
            }
            _ if stood => calls.next(Call::Stood),
            // A call that was taken and told nothing waited in vain, as one that is refused does.
            "refused" | "broken" | "ended" => calls.next(Call::Refused),
            _ => calls.next(Call::Away),
        };
        wait = manner.wait(told);
    }
}

/// `stood` tells whether anything came, an empty line at least.
async fn follow_one(
    address: SocketAddr,
    manner: Manner,
    from: &mut u64,
    stood: &mut bool,
    hear: &mut impl FnMut(Update),
) -> &'static str {
    let client = watcher(manner.connect());
    let uri = format!("http://{address}/v1/servers?watch=1&from={from}");
    let asked = actix_rt::time::timeout(manner.head(), client.get(uri).send()).await;
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

#[cfg(test)]
mod tests {
    use super::*;

    /// A watch that fell silent, a first new call that hangs and a second one that hangs, with the waits before them,
    /// leave time for a third within that after which news counts as told. Guards against times that are longer
    /// together than they look apart.
    #[test]
    fn two_calls_that_hang_leave_time_for_a_third() {
        let manner = Manner::Pushed;
        let wait = manner.wait(Duration::from_secs(60));
        let third = SILENCE + (wait + manner.head()) * 2 + wait;
        assert!(third + Duration::from_secs(1) <= TOLD, "the third call begins after {third:?}");
        assert!(manner.connect() <= manner.head());
    }

    /// A call that waits in turn is not given up before discovery would have refused it, and keeps to the rate.
    #[test]
    fn calls_that_wait_in_turn_are_waited_for() {
        let told = Duration::from_secs(20);
        assert_eq!(Manner::Asked.wait(told), told);
        assert!(Manner::Asked.head() >= Duration::from_millis(3_600));
    }
}
