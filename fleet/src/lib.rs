//! Local decisions of one router among many that keep the load of all routers together bounded. No clock, no I/O,
//! no threads. `docs/design-fleet.md` gives the reasons.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod adaptive_limit;
pub mod best;
pub mod cells;
pub mod discovery_calls;
pub mod fault_score;
pub mod load_report;
pub mod math;
pub mod popularity;
pub mod prefix_cache;
pub mod quota;
pub mod reachability;
pub mod rendezvous;
pub mod slow_start;
pub mod start_times;
pub mod timeout;

pub use adaptive_limit::AdaptiveLimit;
pub use best::best;
pub use cells::{Cell, cells};
pub use fault_score::FaultScore;
pub use load_report::LoadReport;
pub use popularity::Popularity;
pub use prefix_cache::PrefixCache;
pub use quota::Quota;
pub use rendezvous::rendezvous;
pub use slow_start::{ColdBucket, ServerAllowance, SlowStart};
