//! Metrics in the Prometheus text format. The counts themselves are kept by the core.

use crate::clients::Shared;
use crate::core::OutcomeCounts;
use fawnstream_attempts::invariants::Invariant;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Prefix of all metric names.
const PREFIX: &str = "router_";

/// A metric by class: name, help text and the count to read.
type ClassMetric = (&'static str, &'static str, fn(&OutcomeCounts) -> u64);

/// The metrics of one scrape.
struct Scrape(Registry);

impl Scrape {
    /// Adds a counter with one label. Metrics that the library rejects, such as duplicate names, are left out.
    fn counter_by<'v>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl Iterator<Item = (&'v str, u64)>,
    ) {
        let Ok(counters) = IntCounterVec::new(Opts::new(format!("{PREFIX}{name}"), help), &[label]) else {
            return;
        };
        values.for_each(|(value, count)| counters.with_label_values(&[value]).inc_by(count));
        let _ = self.0.register(Box::new(counters));
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

/// Renders the current metrics.
pub fn render(shared: &Shared) -> String {
    let (core, mut scrape) = (&shared.core, Scrape(Registry::new()));
    let tallies = core.outcome_counts();
    let by_class: [ClassMetric; 4] = [
        ("success", "Requests served whole.", |tally| tally.served),
        ("overload", "Requests refused; trying again is harmless.", |tally| tally.refused),
        ("error", "Requests failed, broken answers among them.", |tally| tally.failed),
        ("abandoned", "Requests whose client left before the end.", |tally| tally.left),
    ];
    for (name, help, count) in by_class {
        let classes = core.names().classes.iter().zip(&tallies);
        scrape.counter_by(name, help, "type", classes.map(|(class, tally)| (class.as_str(), count(tally))));
    }
    let violations = Invariant::ALL.iter().map(|rule| (rule.name(), core.violations().get(*rule)));
    scrape.counter_by(
        "invariant_violations",
        "Rules broken by this router; any is a fault.",
        "rule",
        violations,
    );
    let (reloads, failed) = shared.reloads.get();
    let (targets, disabled) = core.server_counts();
    scrape.counter("dispatches", "Attempts written whole to workers.", core.dispatches());
    scrape.gauge("concurrent", "Requests taken and not ended.", core.concurrent());
    if let Some(decisions) = core.decision_times() {
        let _ = scrape.0.register(Box::new(decisions));
    }
    let (held, late) = core.lease_counts();
    scrape.gauge("holds", "Requests for which something is held at servers, or is being let go of.", held);
    scrape.counter("holds_late", "Requests for which something was held past the rule's time.", late);
    let (overdue, needless) = core.during_attempt_counts();
    let help = "Requests of which what was held was let go of while a call was out that nobody had answered.";
    scrape.counter("holds_overdue", help, overdue);
    scrape.counter("holds_overdue_answered", "Those of them whose call was answered after all.", needless);
    let releases = core.release_counts();
    let kinds = [
        ("needed", releases.needed),
        ("repeated", releases.repeated),
        ("under_attempt", releases.during_attempt),
    ];
    let help = "Releases that servers answered, by what they were made for.";
    scrape.counter_by("releases", help, "kind", kinds.into_iter());
    let help = "Attempts that had waited for a state that was released under them: that release was in vain.";
    scrape.counter("releases_in_vain", help, releases.without_effect);
    let repeats = core.repeat_counts();
    let help = "Repeats of requests that may have run, by whether their worker showed first that it runs.";
    scrape.counter_by("repeats", help, "sign", repeats.by_sign().into_iter());
    let help = "Repeats written whole and given up with nothing heard for them: they may run late.";
    scrape.counter("repeats_unconfirmed", help, repeats.unconfirmed());
    scrape.gauge("targets", "Workers in the list.", targets);
    scrape.gauge("targets_disabled", "Listed workers that get nothing now.", disabled);
    scrape.counter(
        "accept_errors",
        "Calls of accept that failed, of clients and operators.",
        shared.accept_errors(),
    );
    scrape.counter("reload_success", "Configurations taken over on SIGHUP.", reloads);
    scrape.counter("reload_failure", "Configurations turned down on SIGHUP.", failed);
    if let Some(usage) = core.usage() {
        let status = usage.status();
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let stopped = usize::from(status.stopped.load(Ordering::Relaxed));
        scrape.counter("ledger_entries", "Entries of use on the disk.", count(&status.entries));
        scrape.counter("ledger_exported", "Entries of use that the sink has.", count(&status.exported));
        scrape.counter("ledger_lost", "Requests that the ledger lacks.", count(&status.lost));
        let waiting = count(&status.waiting) as usize;
        scrape.gauge("ledger_waiting", "Entries of use that wait for the disk.", waiting);
        scrape.gauge("ledger_stopped", "1 while the ledger's disk fails.", stopped);
    }
    if let Some(live) = &shared.live {
        let (now, figures) = live.counts();
        scrape.gauge("websocket_open", "Long-lived connections that have their server.", now.open);
        scrape.gauge("websocket_asking", "New ones that wait for a server's turn.", now.queued);
        scrape.gauge("websocket_waiting", "Long-lived connections that wait for a move.", now.awaiting_move);
        scrape.gauge("websocket_trying", "Attempts under way to open or move one.", now.attempting);
        scrape.counter("websocket_opened", "Long-lived connections let in.", figures.opened);
        scrape.counter("websocket_moved", "Moves to another server.", figures.moved);
        scrape.counter("websocket_put_off", "Moves that came to nothing.", figures.failed_moves);
        let rows = |counts: &BTreeMap<&'static str, u64>| counts.clone().into_iter();
        let refused = rows(&figures.refused);
        scrape.counter_by("websocket_refused", "Upgrades turned away, by reason.", "reason", refused);
        let ended = rows(&figures.ended);
        scrape.counter_by(
            "websocket_ended",
            "Long-lived connections that ended, by reason.",
            "reason",
            ended,
        );
    }
    TextEncoder::new().encode_to_string(&scrape.0.gather()).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn escapes_label_values_and_omits_invalid_metrics() {
        let mut scrape = Scrape(Registry::new());
        scrape.counter_by("x", "help", "type", [("a\"b\\c\nd", 2)].into_iter());
        scrape.counter("no name", "help", 1);
        scrape.gauge("y", "help", 3);
        scrape.gauge("y", "again", 4);
        let text = TextEncoder::new().encode_to_string(&scrape.0.gather()).unwrap();
        assert!(text.contains("router_x{type=\"a\\\"b\\\\c\\nd\"} 2\n"), "{text}");
        assert!(text.contains("router_y 3\n") && !text.contains("no name"), "{text}");
    }
}
