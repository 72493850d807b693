//! Batches of entries for export. The export log records a batch before it is sent, so that after a crash the same
//! batch is sent again under the same id; the sink removes duplicates by that id.

use serde::{Deserialize, Serialize};

/// The maximum number of entries in a batch.
pub const MAX_BATCH_ENTRIES: u64 = 200;

/// A range of entries that are exported together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The number of the first entry.
    pub first: u64,
    /// The number of the last entry.
    pub last: u64,
}

impl Batch {
    /// The id under which the sink removes duplicates; it is the same for every retry.
    pub fn id(&self, router: &str) -> String {
        format!("{router}/{}-{}", self.first, self.last)
    }
}

/// A record of the export log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// The batch is about to be sent.
    Sends(Batch),
    /// The sink has confirmed the batch.
    Has(Batch),
}

/// How far the export has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExportProgress {
    /// The sink has confirmed all entries up to this number.
    pub last_exported: u64,
    /// A batch that may have been sent and is not confirmed.
    pub pending: Option<Batch>,
}

impl ExportProgress {
    /// Applies a recorded step.
    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Sends(batch) if batch.first == self.last_exported + 1 => self.pending = Some(batch),
            Step::Has(batch) if self.pending == Some(batch) => {
                (self.last_exported, self.pending) = (batch.last, None)
            }
            // The exporter never writes steps in such an order; they are ignored.
            _ => {}
        }
    }

    /// The next batch to send, given the ledger's last entry, and whether it has to be recorded before it is sent.
    pub fn next_batch(&self, last_entry: u64) -> Option<(Batch, bool)> {
        if let Some(batch) = self.pending {
            return Some((batch, false));
        }
        let first = self.last_exported + 1;
        (last_entry >= first)
            .then(|| (Batch { first, last: last_entry.min(self.last_exported + MAX_BATCH_ENTRIES) }, true))
    }
}
