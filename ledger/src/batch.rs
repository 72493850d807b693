//! Batches for export. A batch is written down with its first and last entry before it is sent, so that after a crash
//! the very same one is sent again under the same name; the sink removes repeats by that name.

use serde::{Deserialize, Serialize};

/// So many entries go out together.
pub const MAX_BATCH_ENTRIES: u64 = 200;

/// Entries that go out together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The first entry's number.
    pub first: u64,
    /// The last one's.
    pub last: u64,
}

impl Batch {
    /// Its name at the sink: the same whenever it is sent.
    pub fn id(&self, router: &str) -> String {
        format!("{router}/{}-{}", self.first, self.last)
    }
}

/// What is written down of an export.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// It is about to be sent.
    Sends(Batch),
    /// The sink has it.
    Has(Batch),
}

/// How far the export is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExportProgress {
    /// The sink has all entries up to this one.
    pub last_exported: u64,
    /// May have been sent.
    pub pending: Option<Batch>,
}

impl ExportProgress {
    /// Takes in a step that was written down.
    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Sends(batch) if batch.first == self.last_exported + 1 => self.pending = Some(batch),
            Step::Has(batch) if self.pending == Some(batch) => {
                (self.last_exported, self.pending) = (batch.last, None)
            }
            // No order of writes gives these; what is known stands.
            _ => {}
        }
    }

    /// What goes out next, where the ledger's last entry is this one; and whether it has to be written down first.
    pub fn next_batch(&self, last: u64) -> Option<(Batch, bool)> {
        if let Some(batch) = self.pending {
            return Some((batch, false));
        }
        let first = self.last_exported + 1;
        (last >= first)
            .then(|| (Batch { first, last: last.min(self.last_exported + MAX_BATCH_ENTRIES) }, true))
    }
}
