//! Limits from the operators' specification: routers are configured with them, and the checks apply them.

use std::time::Duration;

/// An answer is worth nothing after its deadline, and counts as lost after this further time.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time after a client left in which an attempt may still begin.
pub const CLIENT_LEFT_SLACK: Duration = Duration::from_millis(100);
/// Amount by which the time left told to a server may exceed the real time left.
pub const BUDGET_SLACK: Duration = Duration::from_millis(150);
/// Time after the update that a server drains in which an attempt may still be sent to it.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time that sockets add to each limit.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Time after which a change counts as announced, once discovery knows it and can be reached.
pub const DISCOVERY_DELAY: Duration = Duration::from_secs(6);
/// Time in addition to the settings' `release_within` for readers to release what they hold.
pub const LEASE_SLACK: Duration = Duration::from_millis(300);
/// Maximum delay of an event.
pub const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);
/// Maximum share of streams with a late event.
pub const MAX_LATE_STREAM_SHARE: f64 = 0.1;
/// Time in which a restarted router must be ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client that sends part of a request must get an error or a close.
pub const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// SIGKILL follows SIGTERM after the longest deadline and [`KILL_DELAY`]. Longer deadlines count as this.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time from [`MAX_DEADLINE`] to SIGKILL.
pub const KILL_DELAY: Duration = Duration::from_millis(700);
/// Duration of a started server's slow start.
pub const SLOW_START_TIME: Duration = Duration::from_secs(8);
/// Share of its capacity at which a started server begins.
pub const SLOW_START_SHARE: f64 = 0.1;
/// A server fails when it receives this multiple of its capacity within [`OVERLOAD_WINDOW`].
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Window of [`OVERLOAD_MULTIPLE`].
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// The customers' quota in the settings, as a multiple of the plan's request rate.
pub const QUOTA_FACTOR: f64 = 1.5;
/// Maximum resident memory of an idle router.
pub const MAX_MEMORY_KB: u64 = 64 * 1024;
/// Socket limit in a router's configuration.
pub const MAX_SOCKETS: u64 = 256;
