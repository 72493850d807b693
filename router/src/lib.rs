//! The modules of `fawnstream`, a router for language-model requests. The program calls [`program::run`];
//! `docs/architecture.md` describes how the modules work together.
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
pub mod shutdown;
pub mod sse;
pub mod usage;
pub mod websocket_stream;
