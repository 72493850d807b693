//! Header fields that the clients' side and the servers' side share.

/// By what servers know a repeat of a request; it passes unchanged.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
