//! How far answer timeouts are stretched while peers of a server are excluded: if many servers are slow at once, the
//! cause is load and not a fault of each.

/// Number of server roles.
const ROLE_COUNT: usize = 3;

/// The factor by which the timeout of each role grows. It doubles for each of `parts` equal parts of the role's servers
/// that is excluded. Each server comes with its role's index and whether it is excluded.
pub fn timeout_factors(parts: f64, peers: impl Iterator<Item = (usize, bool)>) -> [f64; ROLE_COUNT] {
    let mut counts = [(0_u32, 0_u32); ROLE_COUNT];
    for (role, excluded) in peers {
        let (all, out) = &mut counts[role];
        *all += 1;
        *out += u32::from(excluded);
    }
    counts.map(|(all, out)| (parts * f64::from(out) / f64::from(all.max(1))).exp2())
}
