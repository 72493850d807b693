//! Routing decisions for a language-model service whose prompts are read and answers written by
//! different servers.
//!
//! A router embeds one [`Router`]. It hands in every [`Event`] with the time of its clock, and carries out the
//! [`Action`]s that come back, in their order. The library has no clock, no I/O and no threads.
//!
//! What the caller owes: events in the order in which they happened; one [`Outcome`] for each [`Action::Send`],
//! a time-out at the client's deadline included; the [`Event::Timer`] of each [`Action::Timer`] at or after its
//! time; attempts numbered from 0 for each request, in the order of its sends; the list of servers before the first
//! request; a clock that never goes back. What it gets: one final answer for each request, by
//! [`Action::Refuse`], [`Action::Fail`] or an outcome that is `settled`.
//!
//! [`Settings::routers`] divides what all routers do together: limits, turns at cold servers, tenants' shares.
//! [`Settings::router`] is this router's place among those turns; each router needs its own, or several take the
//! same turn. A number told too low lets the routers send too much together, one too high too little. Neither can
//! change in a router's life: start a new [`Router`]. Clocks of the routers must agree with
//! [`Member::up_since`] to well under the time in which a cold server falls over.
//!
//! ```
//! use shedrelay::*;
//!
//! let kind = |role| Kind { role, memory_tokens: Some(150_000.0) };
//! let settings = Settings {
//!     routers: 2,
//!     router: 0,
//!     max_attempts: 4,
//!     may_cancel: true,
//!     probed_reports: false,
//!     max_backoff: None,
//!     list_on_request: false,
//!     writers_read: false,
//!     over_share_worth: 0.2,
//!     rules: Rules {
//!         cold_share: 0.3,
//!         cold: Span::from_millis(10_000),
//!         fall_multiple: 3.0,
//!         fall: Span::from_millis(2_000),
//!     },
//!     kinds: vec![kind(Role::Reader), kind(Role::Writer)],
//!     classes: vec![Class {
//!         aim: Span::from_millis(1_000),
//!         aim_per_1000: Span::from_millis(40),
//!         worth: 1.0,
//!         effect: Effect::Unsafe,
//!     }],
//!     tenants: vec![],
//! };
//! let mut router = Router::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! let member = |server, kind| Member { server: ServerId(server), kind: KindId(kind), ..Member::default() };
//! let list = Members::Full(vec![member(1, 0), member(2, 1)]);
//! router.handle(Time(0), Event::Members(list), &mut actions);
//!
//! let request = Request {
//!     id: RequestId(7),
//!     session: Some(Key(99)),
//!     prompt_len: 1_200.0,
//!     max_out: 300.0,
//!     budget: Span::from_millis(5_000),
//!     ..Request::default()
//! };
//! actions.clear();
//! router.handle(Time(1_000_000), Event::Request(request), &mut actions);
//! assert_eq!(actions, [Action::Send { request: RequestId(7), server: ServerId(1), timeout: None }]);
//!
//! // The reader has read the prompt: the answer goes to a writer at once.
//! let read = Outcome {
//!     request: RequestId(7),
//!     attempt: Attempt(0),
//!     verdict: Verdict::Read,
//!     evidence: Evidence::Server,
//!     settled: false,
//!     kept: Some(0.0),
//!     report: None,
//! };
//! actions.clear();
//! router.handle(Time(90_000_000), Event::Outcome(read), &mut actions);
//! assert_eq!(actions, [Action::Send { request: RequestId(7), server: ServerId(2), timeout: None }]);
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
mod logic;

pub use interface::*;
pub use logic::Router;
