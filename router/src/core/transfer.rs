//! Requests whose streams change between this process and another one.

use super::{AttemptOrder, Core, OpenRequest, Server};
use crate::exchange::{ClientEnd, Exchange};
use crate::handover::BillingDetails;
use crate::log;
use shedrelay::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;

/// Where a request came from.
pub enum Origin {
    /// From a client.
    Client,
    /// From another process, with what it is billed by if that process kept a ledger.
    OtherProcess(Option<BillingDetails>),
}

impl Core {
    /// Continues a stream that another process began. It is an open request here until it ends, and counts like any
    /// other, also where its id is in use; the decision module is not involved, since it has not sent it.
    pub fn take_over(
        &self,
        exchange: Rc<Exchange>,
        label: &str,
        address: SocketAddr,
        bill: Option<BillingDetails>,
    ) -> (AttemptOrder, ClientEnd) {
        let request = RequestId(self.last_request_id.get() + 1);
        self.last_request_id.set(request.0);
        let known = self.list.borrow().values().find(|server| server.label == label).cloned();
        let server = known
            .filter(|server| server.address == address)
            .unwrap_or_else(|| Server::new(label.to_owned(), address, Role::Writer, None));
        self.labels.add(&exchange.call.label);
        let (cancel, stop) = oneshot::channel();
        let now = Instant::now();
        let open = OpenRequest {
            attempts: 1,
            current: Some((server.clone(), Some(cancel))),
            answer_began: true,
            settled: true,
            ..OpenRequest::new(exchange.clone(), now, Origin::OtherProcess(bill.clone()))
        };
        match (&self.usage, bill) {
            (Some(usage), bill) => usage.request_received(request, bill),
            (None, Some(_)) => {
                log!("ledger off id={} reason=billed-request-taken-over", exchange.call.label);
            }
            (None, None) => {}
        }
        self.requests.borrow_mut().insert(request, open);
        let end = self.reattach_client(request, &exchange);
        let attempt = Attempt(0);
        let order = AttemptOrder {
            exchange,
            request,
            attempt,
            server,
            answer_by: now,
            deadline: now,
            write_by: None,
            repeat: None,
            release_done: None,
            stop,
        };
        (order, end)
    }

    /// A new client's end for a stream whose client connection was detached.
    pub fn reattach_client(&self, request: RequestId, exchange: &Rc<Exchange>) -> ClientEnd {
        let weak = self.weak_self.clone();
        ClientEnd::reattach(exchange.clone(), move || {
            if let Some(core) = weak.upgrade() {
                core.client_left(request);
            }
        })
    }

    /// A stream was handed over to another process, which counts its request.
    pub fn handed_over(&self, request: RequestId, attempt: Attempt) {
        let Some(open) = self.requests.borrow_mut().remove(&request) else { return };
        self.labels.remove(&open.exchange.call.label);
        log!("request id={} outcome=handed-over", open.exchange.call.label);
        if let Some(usage) = &self.usage {
            usage.request_handed_over(request);
        }
        let (verdict, settled) = (Verdict::Ok, true);
        let evidence = Evidence::Server;
        let outcome =
            Outcome { request, attempt, verdict, evidence, settled, cached_tokens: None, report: None };
        self.handle(Event::Outcome(outcome));
    }

    /// What a request is billed by, if a ledger is kept. For a stream from another process these are that process's
    /// details: its call is not known here.
    pub fn billing_details(&self, request: RequestId) -> Option<BillingDetails> {
        let requests = self.requests.borrow();
        let open = requests.get(&request)?;
        let call = &open.exchange.call;
        match &open.origin {
            Origin::Client => Some(self.usage.as_ref()?.billing_details(call, self.tenant_name(call.tenant))),
            Origin::OtherProcess(details) => details.clone(),
        }
    }
}
