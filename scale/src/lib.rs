//! Routers at the size of a large deployment, on one machine: hollow workers, hollow routers and a stand-in discovery
//! share a process, a few real router processes run beside them, and one quantity at a time is varied. `docs/CAPACITY.md`
//! is made from what this measures.
//!
//! A hollow worker speaks the protocol and computes nothing. A hollow router is the router's core, list and servers'
//! side without clients' sockets, so what it sends to discovery and to workers is what a real one sends.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod changes;
pub mod clients;
pub mod counted;
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
pub mod worker;
