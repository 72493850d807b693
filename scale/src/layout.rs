//! Which workers there are, what each does and where it stands.

use crate::plan::{Conditions, Failing, Size};

/// Flavors as the settings name them.
pub const READER: &str = "reads";
/// See [`READER`].
pub const WRITER: &str = "writes";

/// One hollow worker's place.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name in the list.
    pub id: String,
    /// It reads prompts; else it writes answers.
    pub reads: bool,
    /// Its rack, which is its cell.
    pub rack: usize,
    /// Its zone.
    pub zone: usize,
    /// Its zone's region.
    pub region: usize,
}

impl Place {
    /// What it does, as the list tells it.
    pub fn flavor(&self) -> &'static str {
        if self.reads { READER } else { WRITER }
    }

    /// Whether a failure of this kind, at the first rack, zone or region, takes it down.
    pub fn fails_with(&self, kind: Failing) -> bool {
        match kind {
            Failing::Rack => self.rack == 0,
            Failing::Zone => self.zone == 0,
            Failing::Region => self.region == 0,
            Failing::Discovery => false,
        }
    }
}

/// The workers of a point. Racks lie within zones, zones within regions; each has about the same share of readers.
pub fn places(size: &Size, conditions: &Conditions) -> Vec<Place> {
    let readers =
        ((size.servers as f64 * conditions.reader_share).round() as usize).clamp(1, size.servers - 1);
    let place = |number: usize| {
        // Readers are spread evenly: the count of them grows with the number.
        let reads = (number + 1) * readers / size.servers > number * readers / size.servers;
        let rack = number / conditions.rack;
        let zone = rack % size.zones;
        Place { id: format!("s{number:04}"), reads, rack, zone, region: zone % conditions.regions }
    };
    (0..size.servers).map(place).collect()
}
