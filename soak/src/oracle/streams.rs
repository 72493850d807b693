//! Check that events are forwarded as they arrive.

use super::Oracle;
use super::request::Request;
use crate::limits::{MAX_EVENT_DELAY, MAX_LATE_STREAM_SHARE};
use crate::trace::RequestEvent;
use std::time::Duration;

impl Oracle<'_> {
    pub(super) fn check_events(&mut self, requests: &[Request]) {
        let (mut streams, mut late) = (0, Vec::new());
        for request in requests {
            let wrote = |number: u32| {
                let found =
                    request.trace.iter().rev().find(|(_, event)| *event == RequestEvent::Wrote(number));
                found.map(|(at, _)| *at)
            };
            let mut worst = Duration::ZERO;
            let mut events = 0;
            for (at, event) in request.trace {
                if let RequestEvent::Event(number) = event
                    && let Some(wrote) = wrote(*number)
                {
                    worst = worst.max(at.saturating_duration_since(wrote));
                    events += 1;
                }
            }
            streams += usize::from(events > 0);
            let until = request.ended.map_or(request.asked, |(at, _)| at);
            if worst > MAX_EVENT_DELAY + self.slack && !self.paused_long(request.router, request.asked, until)
            {
                late.push((request, worst));
            }
        }
        if late.len() as f64 > MAX_LATE_STREAM_SHARE * streams as f64
            && let Some((request, worst)) = late.first()
        {
            let message = format!(
                "{} of {streams} streams have a late event, this one by {} ms",
                late.len(),
                worst.as_millis()
            );
            self.report("events_in_time", message, Some(request));
        }
    }
}
