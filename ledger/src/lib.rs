//! What each customer used. The decisions (`entry`, `period`, `book`, `batch`, `reconcile`) are pure: no clock, no
//! files. `store` keeps records on a disk; `docs/design-ledger.md` says why all is as it is.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod batch;
pub mod entry;
pub mod period;
pub mod reconcile;
pub mod recorder;
pub mod store;
