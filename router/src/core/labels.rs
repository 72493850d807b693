//! The ids of open requests, as clients and servers know them.

use std::cell::RefCell;
use std::collections::HashMap;

/// How many open requests have each id.
#[derive(Default)]
pub struct LabelCounts(RefCell<HashMap<String, usize>>);

impl LabelCounts {
    /// Whether an open request has this id.
    pub fn contains(&self, label: &str) -> bool {
        self.0.borrow().contains_key(label)
    }

    /// How many ids are in use.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// A request with this id is open.
    pub fn add(&self, label: &str) {
        *self.0.borrow_mut().entry(label.to_owned()).or_default() += 1;
    }

    /// A request with this id is open no more.
    pub fn remove(&self, label: &str) {
        let mut counts = self.0.borrow_mut();
        let Some(count) = counts.get_mut(label) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(label);
        }
    }
}
