//! The figures, in the text form that Prometheus reads. What they count is kept by the core.

use crate::clients::Shared;
use crate::core::Tally;
use std::fmt::{Display, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};

/// The figures' names begin with this.
const PREFIX: &str = "router_";

/// A label's value as the form wants it.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// A figure of a class: its name, what it is, and where it stands.
type Figure = (&'static str, &'static str, fn(&Tally) -> u64);

struct Page(String);

impl Page {
    /// What a figure is.
    fn about(&mut self, name: &str, kind: &str, help: &str) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.0, "# HELP {PREFIX}{name} {help}\n# TYPE {PREFIX}{name} {kind}");
    }

    fn one(&mut self, name: &str, kind: &str, help: &str, value: impl Display) {
        self.about(name, kind, help);
        let _ = writeln!(self.0, "{PREFIX}{name} {value}");
    }
}

/// All figures now.
pub fn text(shared: &Shared) -> String {
    let (core, mut page) = (&shared.core, Page(String::new()));
    let tallies = core.tallies();
    let by_class: [Figure; 4] = [
        ("success", "Requests served whole.", |tally| tally.served),
        ("overload", "Requests refused; trying again is harmless.", |tally| tally.refused),
        ("error", "Requests failed, broken answers among them.", |tally| tally.failed),
        ("abandoned", "Requests whose client left before the end.", |tally| tally.left),
    ];
    for (name, help, count) in by_class {
        page.about(name, "counter", help);
        for (class, tally) in core.names().classes.iter().zip(&tallies) {
            let _ = writeln!(page.0, "{PREFIX}{name}{{type=\"{}\"}} {}", escaped(class), count(tally));
        }
    }
    let (reloads, failed) = shared.reloads.get();
    let (targets, disabled) = core.targets();
    page.one("dispatches", "counter", "Attempts written whole to workers.", core.dispatches());
    page.one("concurrent", "gauge", "Requests taken and not ended.", core.concurrent());
    page.one("targets", "gauge", "Workers in the list.", targets);
    page.one("targets_disabled", "gauge", "Listed workers that get nothing now.", disabled);
    page.one("reload_success", "counter", "Configurations taken over on SIGHUP.", reloads);
    page.one("reload_failure", "counter", "Configurations turned down on SIGHUP.", failed);
    if let Some(usage) = core.usage() {
        let state = usage.state();
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let stopped = u8::from(state.stopped.load(Ordering::Relaxed));
        page.one("ledger_entries", "counter", "Entries of use on the disk.", count(&state.entries));
        page.one("ledger_exported", "counter", "Entries of use that the sink has.", count(&state.exported));
        page.one("ledger_lost", "counter", "Requests that the ledger lacks.", count(&state.lost));
        page.one("ledger_stopped", "gauge", "1 if the ledger's disk failed.", stopped);
    }
    if let Some(live) = &shared.live {
        let (now, figures) = live.figures();
        for (name, help, value) in [
            ("websocket_open", "Long-lived connections that have their server.", now.open),
            ("websocket_asking", "New ones that wait for a server's turn.", now.asking),
            ("websocket_waiting", "Long-lived connections that wait for a move.", now.waiting),
            ("websocket_trying", "Attempts under way to open or move one.", now.trying),
        ] {
            page.one(name, "gauge", help, value);
        }
        page.one("websocket_opened", "counter", "Long-lived connections let in.", figures.opened);
        page.one("websocket_moved", "counter", "Moves to another server.", figures.moved);
        page.one("websocket_put_off", "counter", "Moves that came to nothing.", figures.put_off);
        for (name, help, counts) in [
            ("websocket_refused", "Upgrades turned away, by reason.", &figures.turned),
            ("websocket_ended", "Long-lived connections that ended, by reason.", &figures.ended),
        ] {
            page.about(name, "counter", help);
            for (reason, count) in counts {
                let _ = writeln!(page.0, "{PREFIX}{name}{{reason=\"{reason}\"}} {count}");
            }
        }
    }
    page.0
}

#[cfg(test)]
mod tests {
    #[test]
    fn label_values_cannot_end_their_quotes() {
        assert_eq!(super::escaped("a\"b\\c\nd"), "a\\\"b\\\\c\\nd");
    }
}
