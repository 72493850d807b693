//! Connections to servers that fall silent and stay open: what is held is let go of in time, calls stop going there, and
//! slow servers that are well lose nothing. Real router processes, by the fault soak's network and checks.

mod plans;

use fawnstream_soak::network::SILENCE_DETECTION_TIME;
use fawnstream_soak::trace::{Observations, Outcome, RequestEvent};
use plans::keeps_all_rules;

/// Calls that may go to each silent server once it has been found out.
const MOST_AFTER: usize = 10;

/// Requests that ended in no whole stream though their clients waited for it.
fn lost(seen: &Observations) -> Vec<String> {
    let well =
        |happened: &RequestEvent| matches!(happened, RequestEvent::Ended(Outcome::Served | Outcome::Left));
    let lost = seen.requests.iter().filter(|(_, story)| !story.iter().any(|(_, happened)| well(happened)));
    lost.map(|(id, story)| format!("{id:x}: {story:?}")).collect()
}

/// A silence of whole servers: no rule is broken, and few calls go there once they are found out.
async fn finds_silent_servers(name: &str) {
    let seen = keeps_all_rules(name).await;
    for (server, calls) in &seen.silenced_calls {
        let after: Vec<_> = calls
            .iter()
            .map(|call| call.since_silence)
            .filter(|after| *after > SILENCE_DETECTION_TIME)
            .collect();
        assert!(after.len() < MOST_AFTER, "{name}: {} calls to server {server}: {after:?}", after.len());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_writers_hold_nothing_up() {
    finds_silent_servers("one_silent_writer").await;
    finds_silent_servers("two_silent_writers").await;
    finds_silent_servers("all_writers_silent").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_and_readers_hold_nothing_up() {
    keeps_all_rules("silent_connections").await;
    keeps_all_rules("silent_readers").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_first_tokens_lose_nothing() {
    let seen = keeps_all_rules("slow_first_tokens").await;
    let lost = lost(&seen);
    assert!(lost.is_empty(), "{} of {} lost:\n{}", lost.len(), seen.requests.len(), lost.join("\n"));
}
