//! What one router of many does so that the sum of all stays bounded. Pure: no clock, no I/O, no threads;
//! `docs/design-fleet.md` says why it decides as it does.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod best;
pub mod calls;
pub mod cells;
pub mod chance;
pub mod cold;
pub mod fault;
pub mod homes;
pub mod kept;
pub mod limit;
pub mod patience;
pub mod popular;
pub mod quota;
pub mod reach;
pub mod start_times;
pub mod told;

pub use best::best;
pub use cells::{Cell, cells};
pub use cold::{Allowance, Cold, Purse};
pub use fault::Fault;
pub use homes::homes;
pub use kept::Kept;
pub use limit::Limit;
pub use popular::Popular;
pub use quota::Quota;
pub use told::Told;
