//! A randomized fault soak: real router processes among stand-in servers, discovery and clients, troubles that overlap as
//! a plan says, and checks that know nothing of the router's code. `docs/testing.md` has its commands.
//!
//! | module | what |
//! | --- | --- |
//! | [`plan`] | what happens when, drawn from a seed and kept in a file |
//! | [`fault`] | what can go wrong, and with whom |
//! | [`trace`] | what clients and servers saw, request by request |
//! | [`worker`], [`discovery`], [`client`] | the stand-ins |
//! | [`class`], [`limits`], [`configuration`] | what routers are told |
//! | [`release_reach`] | what a release lets go of, by which reading |
//! | [`leases`] | what readers hold, what waits for it, and what a release lets go of |
//! | [`behavior`] | what becomes of single calls at servers that are well |
//! | [`network`] | what passes between routers and servers, and what does not |
//! | [`router`] | router processes: starts, signals, faults of their system calls |
//! | [`harness`] | one play of a plan |
//! | [`oracle`] | the rules, each a named check |
//! | [`shrink`] | the fewest troubles that still fail |
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
