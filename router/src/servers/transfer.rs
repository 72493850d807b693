//! Streams that change between this process and another one: offering them, taking them over, and relaying them by
//! their bare connections.

use super::events::EventBuffer;
use super::raw::RawConnection;
use super::{AttemptContext, RelayEnd, STALL_TIMEOUT, ServerClient, Source, relay, stream_ended};
use crate::core::{AttemptOrder, AttemptResult};
use crate::exchange::{Call, ClientEnd, Exchange};
use crate::handover::{Base64Bytes, Framing, Handover, HandoverError, ReceivedStream, StreamState};
use crate::log;
use shedrelay::{ClassId, Verdict};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Upper bound on the age of a request that is taken over, in milliseconds.
const MAX_REQUEST_AGE_MS: u64 = 3_600_000;
impl ServerClient {
    /// Takes over a stream that another process began. The returned function starts its relay; until then nothing of
    /// the stream is touched. `serve_client` gets the client's end and its connection. `None` if no connection permit
    /// is left, or if the stream's state is invalid.
    pub fn take_over(
        self: &Rc<Self>,
        carried: ReceivedStream,
        serve_client: impl FnOnce(ClientEnd, TcpStream) + 'static,
    ) -> Option<Box<dyn FnOnce()>> {
        let ReceivedStream { state: form, client, server } = carried;
        let raw = RawConnection::new(server, form.framing, self.connections.permit()?)?;
        let events = EventBuffer::resume(form.event.0, form.done, form.kept, form.used)?;
        let class = self.core.names().classes.iter().position(|class| *class == form.class);
        let age = Duration::from_millis(form.age_ms.min(MAX_REQUEST_AGE_MS));
        let prompt_len = form.bill.as_ref().map_or(0.0, |bill| bill.prompt);
        let call = Call::taken_over(form.label, class.map(ClassId), age, prompt_len);
        let exchange = Exchange::new(call);
        let servers = self.clone();
        Some(Box::new(move || {
            let (order, end) = servers.core.take_over(exchange, &form.server, form.address, form.bill);
            serve_client(end, client);
            actix_rt::spawn(async move {
                let (request, attempt) = (order.request, order.attempt);
                let mut context = servers.context();
                let ended = context.relay_raw(order, raw, events).await;
                context.report_end(request, attempt, ended);
            });
        }))
    }
}

impl AttemptContext<'_> {
    /// Relays a stream without awc to its end. `None` if it was handed over.
    pub(super) async fn relay_raw(
        &mut self,
        mut order: AttemptOrder,
        mut raw: RawConnection,
        mut events: EventBuffer,
    ) -> Option<AttemptResult> {
        loop {
            let stalled_at = Instant::now() + STALL_TIMEOUT;
            match relay(self, &mut order, Source::Raw(&mut raw), &mut events, Some(stalled_at)).await {
                RelayEnd::Ended(ended) => return Some(ended),
                RelayEnd::HandedOver => return None,
                RelayEnd::Declined(server, framing, client) => {
                    let Some(next) = self.resume_raw(&order, server, framing, client) else {
                        order.exchange.end_answer(false);
                        return Some(stream_ended(&events, Verdict::Reset, "handover-failed"));
                    };
                    raw = next;
                }
            }
        }
    }

    /// Resumes a stream that the other process declined, on its detached connections.
    pub(super) fn resume_raw(
        &self,
        order: &AttemptOrder,
        server: TcpStream,
        framing: Framing,
        client: TcpStream,
    ) -> Option<RawConnection> {
        let raw = RawConnection::new(server, framing, self.connections.permit()?)?;
        let end = self.core.reattach_client(order.request, &order.exchange);
        self.core.serve_detached(end, client);
        Some(raw)
    }

    /// Offers a stream, between two chunks, to the other process. `None` if the stream continues as it is.
    pub(super) async fn offer(
        &self,
        order: &AttemptOrder,
        source: &mut Source<'_>,
        events: &EventBuffer,
    ) -> Option<RelayEnd> {
        let log_kept =
            |reason: &HandoverError| log!("handover kept id={} reason={reason}", order.exchange.call.label);
        let call = match self.handover.connect().await {
            Ok(call) => call,
            Err(reason) => {
                log_kept(&reason);
                return None;
            }
        };
        let framing = source.framing()?;
        // The client's side comes first: if it cannot give up its connection, nothing has changed.
        let client = order.exchange.detach_client().await?;
        let form = StreamState {
            label: order.exchange.call.label.clone(),
            class: self.core.class_name(order.exchange.call.class).to_owned(),
            server: order.server.label.clone(),
            address: order.server.address,
            age_ms: order.exchange.call.arrived.elapsed().as_millis() as u64,
            framing: framing.clone(),
            event: Base64Bytes(events.partial.to_vec()),
            done: events.done,
            kept: events.cached_tokens,
            used: events.usage,
            bill: self.core.billing_details(order.request),
        };
        let server = source.detach()?;
        let may_commit = || self.core.may_hand_over(order.request);
        match call.send(&form, &client, &server, may_commit).await {
            Ok(()) => Some(RelayEnd::HandedOver),
            Err(reason) => {
                log_kept(&reason);
                Some(RelayEnd::Declined(server, framing, client))
            }
        }
    }
}

/// Waits until streams are to be handed over, and then until `next_offer`.
pub(super) async fn offer_due(handover: &Handover, next_offer: Instant) {
    handover.started().await;
    actix_rt::time::sleep_until(next_offer.into()).await;
}
