//! Cells: racks whose readers and writers stand beside each other. Known from the list alone, so it serves where a
//! router's own streams are too few to show a crowd.

use fnv::FnvHashMap;
use std::collections::BTreeMap;

/// Bounds of a reader's weight as a home: readers can do more than the writers, but not at will.
const MIN_READER_WEIGHT: f64 = 0.6;
const MAX_READER_WEIGHT: f64 = 1.3;

/// What is known of one cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// The weight of its readers as homes, from the writers that stand beside them.
    pub reader_weight: f64,
    /// What its readers send against what its writers take, 1 on the mean of all cells.
    pub relative_load: f64,
}

/// All cells of these servers: each one's cell, and whether it reads or writes; others count for nothing here.
pub fn cells(servers: impl Iterator<Item = (u64, Option<bool>)>) -> BTreeMap<u64, Cell> {
    // Hashed while servers are counted, in order from then on.
    let mut counts: FnvHashMap<u64, [f64; 2]> = FnvHashMap::default();
    for (cell, reads) in servers {
        let count = counts.entry(cell).or_default();
        if let Some(reads) = reads {
            count[usize::from(!reads)] += 1.0;
        }
    }
    let counts: BTreeMap<u64, [f64; 2]> = counts.into_iter().collect();
    let sum = |place: usize| counts.values().map(|count| count[place]).sum::<f64>().max(1.0);
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
    fn readers_beside_more_writers_are_homes_more_often_and_crowds_are_relative() {
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
