//! Classes of requests, by their side effects.

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// No side effects: may run repeatedly.
    Pure,
    /// Side effects: may run once.
    SideEffect,
    /// Side effects, with an idempotency key: servers drop repeats within the deduplication window.
    Keyed,
}

impl Class {
    /// The class's name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Pure => "log-chat",
            Class::SideEffect => "book-device",
            Class::Keyed => "renew-loan",
        }
    }
}
