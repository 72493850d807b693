//! A randomized fault soak: real router processes among stand-in servers, discovery and clients, overlapping faults
//! from a plan, and checks that use no code of the router. `docs/testing.md` has its commands.
//!
//! | module | content |
//! | --- | --- |
//! | [`plan`] | the load and faults of a run, drawn from a seed and stored in a file |
//! | [`fault`] | the faults |
//! | [`trace`] | event traces of requests and routers |
//! | [`worker`], [`discovery`], [`client`] | the stand-ins |
//! | [`class`], [`limits`], [`configuration`] | the routers' configuration |
//! | [`release_reach`] | the two readings of what a release frees |
//! | [`leases`] | what readers hold and which attempts wait for it |
//! | [`behavior`] | faults of single calls at healthy servers |
//! | [`network`] | the network between routers and servers, and its faults |
//! | [`router`] | router processes: starts, signals, system call faults |
//! | [`harness`] | the run of a plan |
//! | [`oracle`] | the rules, each a named check |
//! | [`shrink`] | shrinking of a failing plan |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod behavior;
pub mod class;
pub mod client;
pub mod configuration;
pub mod discovery;
pub mod fault;
pub mod harness;
pub mod http;
pub mod leases;
pub mod limits;
pub mod network;
pub mod oracle;
pub mod plan;
pub mod release_reach;
pub mod router;
pub mod shrink;
pub mod trace;
pub mod worker;
