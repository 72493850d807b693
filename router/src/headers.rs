//! Header fields that both the client side and the server side use.

/// Identifies repeats of a request at servers; passed on unchanged.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
