//! Routing decisions for a language-model service where different servers read prompts (prefill) and write answers
//! (decode).
//!
//! A program embeds one [`Router`], passes in each [`Event`] with the time of its own clock, and carries out the
//! returned [`Action`]s in order. The library has no clock, no I/O and no threads.
//!
//! The caller must provide:
//! - events in the order in which they happened, with a clock that never goes back;
//! - the list of servers before the first request;
//! - one [`Outcome`] for each [`Action::Send`], a timeout at the client's deadline included; attempts of a request are
//!   numbered from 0 in the order of its sends;
//! - the [`Event::Timer`] for each [`Action::Timer`], at or after its time.
//!
//! It gets one final answer for each request: [`Action::Refuse`], [`Action::Fail`], or an outcome that is `settled`.
//!
//! [`Settings::routers`] divides what all routers share: limits, budgets for cold servers, and tenants' quotas. If it
//! is too small, the routers together send too much; if too large, too little. [`Settings::router`] is this router's
//! index and must be unique. Neither can change at run time: start a new [`Router`]. The routers' clocks must agree
//! with [`Member::up_since`] to well under the time in which a cold server is overloaded ([`Rules::fall`]).
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
//!     probes_enabled: false,
//!     refusal_backoff: None,
//!     subscribe_to_list: false,
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
//!     cached_tokens: Some(0.0),
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
