//! The numbers that routers are told and that the checks go by: from the operators' pages.

use std::time::Duration;

/// An answer so long after its time only earns nothing; later it is lost.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has left.
pub const CLIENT_LEFT_SLACK: Duration = Duration::from_millis(100);
/// What is told of the time left may be so much more than what is left.
pub const BUDGET_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin so long after the news that its server drains; time limits on sockets are 50 ms longer.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// What sockets add to each limit.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// A change counts as told at the latest so long after discovery had it and could be reached.
pub const DISCOVERY_DELAY: Duration = Duration::from_secs(6);
/// What a reader holds is let go of within the settings' time, and so much more.
pub const LEASE_SLACK: Duration = Duration::from_millis(300);
/// An event is passed on within this time.
pub const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);
/// No more than this part of the streams may have a late event.
pub const MAX_LATE_STREAM_SHARE: f64 = 0.1;
/// A restarted router is ready within this time.
pub const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// A client that sends half a request gets an error or a close within this time.
pub const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// SIGKILL follows SIGTERM after the longest deadline, which counts as this where it is longer ...
pub const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// ... and so much more.
pub const KILL_DELAY: Duration = Duration::from_millis(700);
/// A server that starts is warm after this time.
pub const SLOW_START_TIME: Duration = Duration::from_secs(8);
/// It starts at this part of what it can do.
pub const SLOW_START_SHARE: f64 = 0.1;
/// It falls when it is sent this multiple of what it can do, in [`OVERLOAD_WINDOW`].
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// See [`OVERLOAD_MULTIPLE`].
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// All routers together are told that customers may ask this many times what is asked.
pub const QUOTA_FACTOR: f64 = 1.5;
/// A router's memory stays under this.
pub const MAX_MEMORY_KB: u64 = 64 * 1024;
/// A router's descriptors.
pub const MAX_SOCKETS: u64 = 256;
