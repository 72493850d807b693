//! The workers of a point: the role, rack, zone and region of each.

use crate::plan::{Conditions, FaultKind, Size};

/// Flavor of readers in the settings.
pub const READER_FLAVOR: &str = "reads";
/// Flavor of writers in the settings.
pub const WRITER_FLAVOR: &str = "writes";

/// Role and location of one hollow worker.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Name in the server list.
    pub id: String,
    /// Whether it is a reader; else it is a writer.
    pub is_reader: bool,
    /// Number of its rack, which is its cell.
    pub rack: usize,
    /// Number of its zone.
    pub zone: usize,
    /// Number of its region.
    pub region: usize,
}

impl Placement {
    /// Its flavor in the server list.
    pub fn flavor(&self) -> &'static str {
        if self.is_reader { READER_FLAVOR } else { WRITER_FLAVOR }
    }

    /// Whether a fault of this kind takes it down. Faults hit the first rack, zone or region.
    pub fn hit_by(&self, kind: FaultKind) -> bool {
        match kind {
            FaultKind::Rack => self.rack == 0,
            FaultKind::Zone => self.zone == 0,
            FaultKind::Region => self.region == 0,
            FaultKind::Discovery => false,
        }
    }
}

/// Places the workers of a point. Each rack is in one zone and each zone in one region; all have about the same share
/// of readers.
pub fn placements(size: &Size, conditions: &Conditions) -> Vec<Placement> {
    let readers =
        ((size.servers as f64 * conditions.reader_share).round() as usize).clamp(1, size.servers - 1);
    let placement = |number: usize| {
        // Spreads readers evenly: a worker is a reader where the rounded-down number of readers so far grows.
        let is_reader = (number + 1) * readers / size.servers > number * readers / size.servers;
        let rack = number / conditions.rack;
        let zone = rack % size.zones;
        Placement { id: format!("s{number:04}"), is_reader, rack, zone, region: zone % conditions.regions }
    };
    (0..size.servers).map(placement).collect()
}
