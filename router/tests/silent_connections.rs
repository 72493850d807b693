//! Server connections that fall silent and stay open: leases are released in time, the router stops using such
//! servers, and slow but healthy servers lose no request. Runs real router processes with the fault soak's network and
//! checks.

mod plans;

use fawnstream_soak::network::SILENCE_DETECTION_TIME;
use fawnstream_soak::trace::{Observations, Outcome, RequestEvent};
use plans::assert_no_violations;

/// Limit on calls to each silent server once it has been detected.
const MAX_CALLS_AFTER_DETECTION: usize = 10;

/// Requests that did not end in a complete stream though their clients waited for it.
fn lost_requests(seen: &Observations) -> Vec<String> {
    let ended_well =
        |happened: &RequestEvent| matches!(happened, RequestEvent::Ended(Outcome::Served | Outcome::Left));
    let lost =
        seen.requests.iter().filter(|(_, story)| !story.iter().any(|(_, happened)| ended_well(happened)));
    lost.map(|(id, story)| format!("{id:x}: {story:?}")).collect()
}

/// Plays a plan with silent servers: no rule is violated, and few calls go to these servers after detection.
async fn assert_detects_silent_servers(name: &str) {
    let seen = assert_no_violations(name).await;
    for (server, calls) in &seen.silenced_calls {
        let after: Vec<_> = calls
            .iter()
            .map(|call| call.since_silence)
            .filter(|after| *after > SILENCE_DETECTION_TIME)
            .collect();
        assert!(
            after.len() < MAX_CALLS_AFTER_DETECTION,
            "{name}: {} calls to server {server}: {after:?}",
            after.len()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn detects_silent_writers() {
    assert_detects_silent_servers("one_silent_writer").await;
    assert_detects_silent_servers("two_silent_writers").await;
    assert_detects_silent_servers("all_writers_silent").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tolerates_silent_connections_and_readers() {
    assert_no_violations("silent_connections").await;
    assert_no_violations("silent_readers").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_first_tokens_lose_no_request() {
    let seen = assert_no_violations("slow_first_tokens").await;
    let lost = lost_requests(&seen);
    assert!(lost.is_empty(), "{} of {} lost:\n{}", lost.len(), seen.requests.len(), lost.join("\n"));
}
