//! The figures, in the text form that Prometheus reads. What they count is kept by the core.

use crate::clients::Shared;
use crate::core::OutcomeCounts;
use fawnstream_attempts::invariants::Invariant;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// The figures' names begin with this.
const PREFIX: &str = "router_";

/// A figure of a class: its name, what it is, and where it stands.
type Figure = (&'static str, &'static str, fn(&OutcomeCounts) -> u64);

/// The figures of one call.
struct Page(Registry);

impl Page {
    /// A figure with a label. One that the library cannot take, such as a name told twice, is left out.
    fn by<'v>(&mut self, name: &str, help: &str, label: &str, values: impl Iterator<Item = (&'v str, u64)>) {
        let Ok(all) = IntCounterVec::new(Opts::new(format!("{PREFIX}{name}"), help), &[label]) else {
            return;
        };
        values.for_each(|(value, count)| all.with_label_values(&[value]).inc_by(count));
        let _ = self.0.register(Box::new(all));
    }

    fn counter(&mut self, name: &str, help: &str, value: u64) {
        let Ok(counter) = IntCounter::new(format!("{PREFIX}{name}"), help) else { return };
        counter.inc_by(value);
        let _ = self.0.register(Box::new(counter));
    }

    fn gauge(&mut self, name: &str, help: &str, value: usize) {
        let Ok(gauge) = IntGauge::new(format!("{PREFIX}{name}"), help) else { return };
        gauge.set(value as i64);
        let _ = self.0.register(Box::new(gauge));
    }
}

/// All figures now.
pub fn text(shared: &Shared) -> String {
    let (core, mut page) = (&shared.core, Page(Registry::new()));
    let tallies = core.outcome_counts();
    let by_class: [Figure; 4] = [
        ("success", "Requests served whole.", |tally| tally.served),
        ("overload", "Requests refused; trying again is harmless.", |tally| tally.refused),
        ("error", "Requests failed, broken answers among them.", |tally| tally.failed),
        ("abandoned", "Requests whose client left before the end.", |tally| tally.left),
    ];
    for (name, help, count) in by_class {
        let classes = core.names().classes.iter().zip(&tallies);
        page.by(name, help, "type", classes.map(|(class, tally)| (class.as_str(), count(tally))));
    }
    let violations = Invariant::ALL.iter().map(|rule| (rule.name(), core.violations().get(*rule)));
    page.by("invariant_violations", "Rules broken by this router; any is a fault.", "rule", violations);
    let (reloads, failed) = shared.reloads.get();
    let (targets, disabled) = core.server_counts();
    page.counter("dispatches", "Attempts written whole to workers.", core.dispatches());
    page.gauge("concurrent", "Requests taken and not ended.", core.concurrent());
    if let Some(decisions) = core.decision_times() {
        let _ = page.0.register(Box::new(decisions));
    }
    let (held, late) = core.lease_counts();
    page.gauge("holds", "Requests for which something is held at servers, or is being let go of.", held);
    page.counter("holds_late", "Requests for which something was held past the rule's time.", late);
    let (overdue, needless) = core.during_attempt_counts();
    let help = "Requests of which what was held was let go of while a call was out that nobody had answered.";
    page.counter("holds_overdue", help, overdue);
    page.counter("holds_overdue_answered", "Those of them whose call was answered after all.", needless);
    let releases = core.release_counts();
    let kinds = [
        ("needed", releases.needed),
        ("repeated", releases.repeated),
        ("under_attempt", releases.during_attempt),
    ];
    let help = "Releases that servers answered, by what they were made for.";
    page.by("releases", help, "kind", kinds.into_iter());
    let help = "Attempts that had waited for a state that was released under them: that release was in vain.";
    page.counter("releases_in_vain", help, releases.without_effect);
    let repeats = core.repeat_counts();
    let help = "Repeats of requests that may have run, by whether their worker showed first that it runs.";
    page.by("repeats", help, "sign", repeats.by_sign().into_iter());
    let help = "Repeats written whole and given up with nothing heard for them: they may run late.";
    page.counter("repeats_unconfirmed", help, repeats.unconfirmed());
    page.gauge("targets", "Workers in the list.", targets);
    page.gauge("targets_disabled", "Listed workers that get nothing now.", disabled);
    page.counter(
        "accept_errors",
        "Calls of accept that failed, of clients and operators.",
        shared.accept_errors(),
    );
    page.counter("reload_success", "Configurations taken over on SIGHUP.", reloads);
    page.counter("reload_failure", "Configurations turned down on SIGHUP.", failed);
    if let Some(usage) = core.usage() {
        let state = usage.state();
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let stopped = usize::from(state.stopped.load(Ordering::Relaxed));
        page.counter("ledger_entries", "Entries of use on the disk.", count(&state.entries));
        page.counter("ledger_exported", "Entries of use that the sink has.", count(&state.exported));
        page.counter("ledger_lost", "Requests that the ledger lacks.", count(&state.lost));
        let waiting = count(&state.waiting) as usize;
        page.gauge("ledger_waiting", "Entries of use that wait for the disk.", waiting);
        page.gauge("ledger_stopped", "1 while the ledger's disk fails.", stopped);
    }
    if let Some(live) = &shared.live {
        let (now, figures) = live.counts();
        page.gauge("websocket_open", "Long-lived connections that have their server.", now.open);
        page.gauge("websocket_asking", "New ones that wait for a server's turn.", now.queued);
        page.gauge("websocket_waiting", "Long-lived connections that wait for a move.", now.awaiting_move);
        page.gauge("websocket_trying", "Attempts under way to open or move one.", now.attempting);
        page.counter("websocket_opened", "Long-lived connections let in.", figures.opened);
        page.counter("websocket_moved", "Moves to another server.", figures.moved);
        page.counter("websocket_put_off", "Moves that came to nothing.", figures.failed_moves);
        let rows = |counts: &BTreeMap<&'static str, u64>| counts.clone().into_iter();
        let refused = rows(&figures.refused);
        page.by("websocket_refused", "Upgrades turned away, by reason.", "reason", refused);
        let ended = rows(&figures.ended);
        page.by("websocket_ended", "Long-lived connections that ended, by reason.", "reason", ended);
    }
    TextEncoder::new().encode_to_string(&page.0.gather()).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn label_values_cannot_end_their_quotes_and_bad_figures_are_left_out() {
        let mut page = Page(Registry::new());
        page.by("x", "help", "type", [("a\"b\\c\nd", 2)].into_iter());
        page.counter("no name", "help", 1);
        page.gauge("y", "help", 3);
        page.gauge("y", "again", 4);
        let text = TextEncoder::new().encode_to_string(&page.0.gather()).unwrap();
        assert!(text.contains("router_x{type=\"a\\\"b\\\\c\\nd\"} 2\n"), "{text}");
        assert!(text.contains("router_y 3\n") && !text.contains("no name"), "{text}");
    }
}
