//! Token bucket for a tenant's share of the fleet, which fills at one router's share of the tenant's quota.

/// Seconds of a quota that may be used at once.
const BURST_SECS: f64 = 2.0;

/// Token bucket of one tenant at one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quota {
    tokens: f64,
    /// When `tokens` was last updated, in seconds.
    at: f64,
}

impl Quota {
    /// Takes a token for one request, at a quota of `rate` a second; false if none is left. `now` is in seconds.
    pub fn take(&mut self, now: f64, rate: f64) -> bool {
        self.tokens = (self.tokens + rate * (now - self.at)).min((BURST_SECS * rate).max(BURST_SECS));
        self.at = now;
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(within));
        within
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quota_is_used_up_and_refills() {
        let mut quota = Quota::default();
        let taken = |quota: &mut Quota, now| (0..100).filter(|_| quota.take(now, 10.0)).count();
        assert_eq!(taken(&mut quota, 100.0), 20, "two seconds' worth at once");
        assert_eq!(taken(&mut quota, 100.5), 5);
        assert!(quota.take(300.0, 0.01), "a small quota has room for one request");
    }
}
