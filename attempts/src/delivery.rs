//! How far a request has provably come on its way to a server.

/// How far an attempt has come. Each step includes the ones before it.
///
/// | question | needed state | proof |
/// | --- | --- | --- |
/// | may another attempt or a refusal follow | at most [`Unsent`](Delivery::Unsent) | last byte not written |
/// | is an attempt in flight (no second one, drain grace, slow start) | [`Written`](Delivery::Written) | last byte accepted by the kernel |
/// | has the clock of the lease stopped | [`Arrived`](Delivery::Arrived) | server sent something on the connection |
/// | does the request belong to its client | [`Answered`](Delivery::Answered) | the answer began |
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delivery {
    /// The last byte was not written, so no server has begun it.
    Unsent,
    /// The local kernel accepted the last byte. The request may be in transit, at a machine whose process is stopped,
    /// or lost on a dead connection; nothing reports which.
    Written,
    /// Something came back for it on its connection: a running server has received it.
    Arrived,
    /// Its answer has begun.
    Answered,
}

impl Delivery {
    /// Whether a server may have begun it.
    pub fn may_have_run(self) -> bool {
        self >= Delivery::Written
    }

    /// Whether a running server has received it.
    pub fn arrived(self) -> bool {
        self >= Delivery::Arrived
    }
}
