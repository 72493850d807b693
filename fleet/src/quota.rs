//! A customer's share of the fleet, as one router counts it: a bucket that fills at the router's part of it.

/// So many seconds of a quota may be used at once.
const BURST: f64 = 2.0;

/// What is left of a share, and when that was so.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quota {
    left: f64,
    at: f64,
}

impl Quota {
    /// Takes one request out, of so many a second; false if the share is used up. `now`: in seconds.
    pub fn take(&mut self, now: f64, rate: f64) -> bool {
        self.left = (self.left + rate * (now - self.at)).min((BURST * rate).max(BURST));
        self.at = now;
        let within = self.left >= 1.0;
        self.left -= f64::from(u8::from(within));
        within
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_is_used_up_and_fills_again() {
        let mut quota = Quota::default();
        let taken = |quota: &mut Quota, now| (0..100).filter(|_| quota.take(now, 10.0)).count();
        assert_eq!(taken(&mut quota, 100.0), 20, "two seconds' worth at once");
        assert_eq!(taken(&mut quota, 100.5), 5);
        assert!(quota.take(300.0, 0.01), "a small share has room for one");
    }
}
