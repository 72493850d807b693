//! Measures what routers cost at the size of a large deployment, on one machine. Hollow workers, hollow routers and a
//! stub discovery share one process, a few real router processes run beside them, and one quantity is varied at a
//! time. `docs/CAPACITY.md` is made from these measurements.
//!
//! A hollow worker speaks the protocol and computes nothing. A hollow router is the router's core, server list and
//! server connections without client sockets, so it sends discovery and workers what a real router sends.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod changes;
pub mod clients;
pub mod discovery;
pub mod faults;
pub mod fit;
pub mod hollow;
pub mod layout;
pub mod measure;
pub mod plan;
pub mod point;
pub mod process;
pub mod report;
pub mod settings;
pub mod traffic;
pub mod worker;
