//! What one router of many does so that the sum of all stays bounded. Pure: no clock, no I/O, no threads;
//! `docs/design-fleet.md` says why it decides as it does.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod chance;
pub mod cold;
pub mod kept;
pub mod limit;
pub mod popular;
pub mod reach;
