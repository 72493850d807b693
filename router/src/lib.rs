//! The parts of `fawnstream`, a router for language-model requests. `docs/architecture.md` says how they fit; the binary
//! calls [`program::run`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clients;
pub mod config;
pub mod core;
pub mod exchange;
pub mod handover;
pub mod headers;
pub mod lifecycle;
pub mod list;
pub mod live;
pub mod log;
pub mod names;
pub mod operators;
pub mod program;
pub mod servers;
pub mod sse;
pub mod usage;
pub mod websocket_stream;
