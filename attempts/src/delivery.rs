//! How far a request has come on its way to a server, by what is proved here and not by what is likely.

/// How far an attempt has come. Each step includes the ones before it.
///
/// | what asks | what it needs | what proves it |
/// | --- | --- | --- |
/// | may another attempt follow, may the answer be a refusal | that it is at most [`Unsent`](Delivery::Unsent) | the last byte was not written |
/// | is an attempt out: no second one beside it, a drain's grace, slow start's sum | [`Written`](Delivery::Written) | the kernel accepted the last byte |
/// | has the clock of what is held stopped | [`Arrived`](Delivery::Arrived) | the server said something on that connection |
/// | does the request belong to its client | [`Answered`](Delivery::Answered) | the answer began |
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delivery {
    /// Its last byte was not written: no server has begun it.
    Unsent,
    /// The kernel here accepted its last byte. It may be on its way, at a machine whose process stands still, or lost on
    /// a connection that fell silent: nobody says so.
    Written,
    /// Something came back for it on its connection: a running server had it.
    Arrived,
    /// Its answer began.
    Answered,
}

impl Delivery {
    /// A server may have begun it.
    pub fn may_have_run(self) -> bool {
        self >= Delivery::Written
    }

    /// A running server had it.
    pub fn arrived(self) -> bool {
        self >= Delivery::Arrived
    }
}
