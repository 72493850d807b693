//! Usage ledgers: what each tenant used, for billing. `entry`, `period`, `recorder`, `batch` and `reconcile` are pure:
//! they read no clock and no files. `store` keeps the records on disk, `lock` other
//! processes from them. The design and its reasons are in
//! `docs/design-ledger.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod batch;
pub mod entry;
pub mod lock;
pub mod period;
pub mod reconcile;
pub mod recorder;
pub mod store;
