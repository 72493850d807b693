//! Balance of readers and writers per cell (servers that share fast links). Computed from the list alone, so it also
//! works where a router has too few requests of its own to see an overloaded cell.

use fnv::FnvHashMap;
use std::collections::BTreeMap;

/// Lower bound of a reader's weight in the choice of homes.
const MIN_READER_WEIGHT: f64 = 0.6;
/// Upper bound: readers can do more than the writers of their cell, but not without limit.
const MAX_READER_WEIGHT: f64 = 1.3;

/// Balance of one cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// Weight of its readers in the choice of homes for prefixes, from the number of writers in the cell.
    pub reader_weight: f64,
    /// What its readers send in proportion to what its writers can take; 1 is the mean of all cells.
    pub relative_load: f64,
}

/// The balance of each cell. Each server comes with its cell and `Some(true)` for a reader, `Some(false)` for a writer,
/// `None` for others, which are not counted.
pub fn cells(servers: impl Iterator<Item = (u64, Option<bool>)>) -> BTreeMap<u64, Cell> {
    let mut counts: FnvHashMap<u64, [f64; 2]> = FnvHashMap::default();
    for (cell, reads) in servers {
        let count = counts.entry(cell).or_default();
        if let Some(reads) = reads {
            count[usize::from(!reads)] += 1.0;
        }
    }
    let counts: BTreeMap<u64, [f64; 2]> = counts.into_iter().collect();
    let sum = |role: usize| counts.values().map(|count| count[role]).sum::<f64>().max(1.0);
    let mean = sum(1) / sum(0);
    let weight = |c: &[f64; 2]| (c[1] / c[0].max(1.0) / mean).clamp(MIN_READER_WEIGHT, MAX_READER_WEIGHT);
    let sent = counts.values().map(|c| c[0] * weight(c)).sum::<f64>().max(1e-9) / sum(1);
    let cell = |c: &[f64; 2]| Cell {
        reader_weight: weight(c),
        relative_load: c[0] * weight(c) / sent / c[1].max(1e-9),
    };
    counts.iter().map(|(id, c)| (*id, cell(c))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reader_weight_grows_with_writers_and_load_is_relative_to_mean() {
        let fleet = [(1, true), (1, false), (1, false), (2, true), (2, true), (2, false)];
        let all = cells(fleet.iter().map(|(cell, reads)| (*cell, Some(*reads))));
        assert_eq!(all[&1].reader_weight, MAX_READER_WEIGHT);
        assert_eq!(all[&2].reader_weight, MIN_READER_WEIGHT);
        assert!(all[&1].relative_load < 1.0 && all[&2].relative_load > 1.0);
        assert!(cells(std::iter::empty()).is_empty());
        let even = cells([(1, Some(true)), (1, Some(false)), (2, Some(true)), (2, Some(false))].into_iter());
        assert!(even.values().all(|cell| *cell == Cell { reader_weight: 1.0, relative_load: 1.0 }));
    }
}
