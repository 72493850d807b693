//! How long an answer may be waited for, by how many of a server's peers are left out: what many show at once is load, and
//! not their fault.

/// Roles of servers, by their numbers.
const ROLE_COUNT: usize = 3;

/// For each role the factor by which patience grows: it doubles for each of `parts` equal parts of the peers that is left
/// out. Each peer comes with its role's number and whether it is left out.
pub fn timeout_factors(parts: f64, peers: impl Iterator<Item = (usize, bool)>) -> [f64; ROLE_COUNT] {
    let mut counts = [(0_u32, 0_u32); ROLE_COUNT];
    for (role, left_out) in peers {
        let (all, out) = &mut counts[role];
        *all += 1;
        *out += u32::from(left_out);
    }
    counts.map(|(all, out)| (parts * f64::from(out) / f64::from(all.max(1))).exp2())
}
