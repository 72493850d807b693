//! Follows the messages of a long-lived connection: checks that text is UTF-8, finds message boundaries, and keeps the
//! id of the server's last message and whether the client's messages have been acknowledged. From this follows whether
//! the connection may move to another server. Does no I/O.

use crate::config::websocket::ResumeFields;
use actix_http::ws::{Frame, Item};
use serde::de::{DeserializeSeed, IgnoredAny, MapAccess, Visitor};
use std::fmt;

/// Longest message id in bytes: the id is sent in a header.
const MAX_ID_LEN: usize = 256;

/// Why a message is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// A text message that is not UTF-8: close code 1007.
    NotText,
    /// A message over the size limit: close code 1009.
    TooLarge,
}

/// Follows the messages in one direction.
#[derive(Default)]
pub struct MessageTracker {
    is_text: bool,
    unfinished: bool,
    size: usize,
    /// The bytes so far of a character that a fragment boundary has cut.
    partial_char: Vec<u8>,
    /// The message's text so far, where it is needed.
    text: Vec<u8>,
}

/// What a frame was.
#[derive(Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A control frame.
    Control,
    /// Part of a message that continues.
    Fragment,
    /// The end of a message; with the message's text, where that is needed.
    MessageEnd(Option<Vec<u8>>),
}

impl MessageTracker {
    /// Whether part of a message has passed and its end has not.
    pub fn unfinished(&self) -> bool {
        self.unfinished
    }

    /// Bytes of text kept.
    pub fn buffered_bytes(&self) -> usize {
        self.text.len()
    }

    /// Takes the next frame. `max_size` limits a message; `keep_text`: whether its text is needed.
    pub fn pass(
        &mut self,
        frame: &Frame,
        max_size: usize,
        keep_text: bool,
    ) -> Result<FrameKind, MessageError> {
        let (payload, is_text, last) = match frame {
            Frame::Text(payload) => (payload, Some(true), true),
            Frame::Binary(payload) => (payload, Some(false), true),
            Frame::Continuation(Item::FirstText(payload)) => (payload, Some(true), false),
            Frame::Continuation(Item::FirstBinary(payload)) => (payload, Some(false), false),
            Frame::Continuation(Item::Continue(payload)) => (payload, None, false),
            Frame::Continuation(Item::Last(payload)) => (payload, None, true),
            Frame::Ping(_) | Frame::Pong(_) | Frame::Close(_) => return Ok(FrameKind::Control),
        };
        if let Some(is_text) = is_text {
            (self.is_text, self.size) = (is_text, 0);
            self.partial_char.clear();
            self.text.clear();
        }
        self.unfinished = !last;
        self.size = self.size.saturating_add(payload.len());
        if self.size > max_size {
            return Err(MessageError::TooLarge);
        }
        if self.is_text {
            self.check_utf8(payload, last)?;
        }
        let keep_text = keep_text && self.is_text;
        if keep_text {
            self.text.extend_from_slice(payload);
        }
        if !last {
            return Ok(FrameKind::Fragment);
        }
        // Frees the buffers, so that a connection takes no memory between its messages.
        self.partial_char = Vec::new();
        let text = std::mem::take(&mut self.text);
        Ok(FrameKind::MessageEnd(keep_text.then_some(text)))
    }

    /// Checks that text is UTF-8. A fragment boundary may cut a character.
    fn check_utf8(&mut self, payload: &[u8], last: bool) -> Result<(), MessageError> {
        let joined: Vec<u8>;
        let bytes = if self.partial_char.is_empty() {
            payload
        } else {
            joined = [self.partial_char.as_slice(), payload].concat();
            &joined
        };
        let rest = match std::str::from_utf8(bytes) {
            Ok(_) => &[],
            Err(error) if error.error_len().is_some() => return Err(MessageError::NotText),
            Err(error) => &bytes[error.valid_up_to()..],
        };
        if last && !rest.is_empty() {
            return Err(MessageError::NotText);
        }
        self.partial_char = rest.to_vec();
        Ok(())
    }
}

/// What a new server needs to resume a connection, and whether a move would lose or repeat messages.
#[derive(Debug, Default)]
pub struct ResumeState {
    last_id: Option<String>,
    /// A message without a usable id has passed since `last_id`, so that a new server cannot resume after it.
    unresumable: bool,
    client_messages: u64,
    acknowledged: u64,
}

impl ResumeState {
    /// The id of the last message passed to the client.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether another server could take over now without losing or repeating a message.
    pub fn movable(&self) -> bool {
        !self.unresumable && self.acknowledged >= self.client_messages
    }

    /// A message of the client has passed.
    pub fn client_message(&mut self) {
        self.client_messages += 1;
    }

    /// A message of the server has passed. `text` is none if its content is not known.
    pub fn server_message(&mut self, text: Option<&[u8]>, fields: &ResumeFields) {
        let members = text.and_then(|text| read(text, fields)).unwrap_or_default();
        if let Some(ack) = members.ack {
            self.acknowledged = self.acknowledged.max(ack.min(self.client_messages));
        }
        // A message that only acknowledges needs no id: it is not part of the stream that is resumed.
        let only_ack = members.ack.is_some() && members.id.is_none();
        match members.id.filter(|id| fits_header(id)) {
            Some(id) => (self.last_id, self.unresumable) = (Some(id), false),
            None => self.unresumable |= !only_ack,
        }
    }
}

/// Whether an id can be sent in a header.
fn fits_header(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_ID_LEN && id.bytes().all(|byte| (0x20..0x7f).contains(&byte))
}

#[derive(Debug, Default, PartialEq)]
struct Members {
    id: Option<String>,
    ack: Option<u64>,
}

/// Reads the id and the acknowledgement from a JSON object.
fn read(text: &[u8], fields: &ResumeFields) -> Option<Members> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let members = MembersSeed(fields).deserialize(&mut deserializer).ok()?;
    deserializer.end().ok()?;
    Some(members)
}

struct MembersSeed<'f>(&'f ResumeFields);

impl<'de> DeserializeSeed<'de> for MembersSeed<'_> {
    type Value = Members;
    fn deserialize<D: serde::Deserializer<'de>>(self, deserializer: D) -> Result<Members, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for MembersSeed<'_> {
    type Value = Members;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Members, A::Error> {
        let mut members = Members::default();
        while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            if self.0.id.as_deref() == Some(key.as_ref()) {
                members.id = match map.next_value::<serde_json::Value>()? {
                    serde_json::Value::String(id) => Some(id),
                    serde_json::Value::Number(id) => Some(id.to_string()),
                    _ => None,
                };
            } else if self.0.ack.as_deref() == Some(key.as_ref()) {
                members.ack = map.next_value::<serde_json::Value>()?.as_u64();
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(members)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;

    fn fields() -> ResumeFields {
        ResumeFields { id: Some("id".to_owned()), ack: Some("ack".to_owned()) }
    }

    /// A fragment boundary may cut a character, a message's end may not; any other invalid byte fails at once.
    #[test]
    fn utf8_is_checked_across_fragments() {
        let first =
            |payload: &'static [u8]| Frame::Continuation(Item::FirstText(Bytes::from_static(payload)));
        let last = |payload: &'static [u8]| Frame::Continuation(Item::Last(Bytes::from_static(payload)));
        let mut tracker = MessageTracker::default();
        assert_eq!(tracker.pass(&first(b"gr\xc3"), 100, true), Ok(FrameKind::Fragment));
        assert!(tracker.unfinished());
        assert_eq!(tracker.pass(&Frame::Ping(Bytes::new()), 100, true), Ok(FrameKind::Control));
        assert_eq!(
            tracker.pass(&last(b"\xbc\xc3\x9f"), 100, true),
            Ok(FrameKind::MessageEnd(Some("grüß".into())))
        );
        assert_eq!(tracker.pass(&first(b"a\xe2\x82"), 100, true), Ok(FrameKind::Fragment));
        assert_eq!(tracker.pass(&last(b""), 100, true), Err(MessageError::NotText));
        assert_eq!(tracker.pass(&first(b"\xed\xa0\x80"), 100, true), Err(MessageError::NotText));
        let binary = Frame::Binary(Bytes::from_static(b"\xff\xfe"));
        assert_eq!(tracker.pass(&binary, 100, true), Ok(FrameKind::MessageEnd(None)));
        assert_eq!(tracker.pass(&first(b"12345"), 8, false), Ok(FrameKind::Fragment));
        assert_eq!(tracker.pass(&last(b"6789"), 8, false), Err(MessageError::TooLarge));
    }

    /// A connection is movable only after a message with an id and with no message unacknowledged.
    #[test]
    fn connection_is_not_movable_if_a_message_would_be_lost_or_repeated() {
        let mut state = ResumeState::default();
        assert!(state.movable(), "nothing has passed");
        state.server_message(Some(br#"{"line":"x","id":"7"}"#), &fields());
        assert_eq!((state.movable(), state.last_id()), (true, Some("7")));
        state.server_message(Some(br#"{"line":"no id"}"#), &fields());
        assert!(!state.movable());
        state.server_message(Some(br#"{"id":8,"x":{"id":"inner"}}"#), &fields());
        assert_eq!((state.movable(), state.last_id()), (true, Some("8")));
        state.client_message();
        state.client_message();
        state.server_message(Some(br#"{"ack":1}"#), &fields());
        assert!(!state.movable());
        state.server_message(Some(br#"{"ack":99}"#), &fields());
        assert!(state.movable());
        state.client_message();
        assert!(!state.movable(), "an acknowledgement ahead of its time counts for nothing");
        for bad in [&b"{\"id\":\"a\\nb\"}"[..], b"[1]", b"{\"id\":", b"\xff"] {
            let mut state = ResumeState::default();
            state.server_message(Some(bad), &fields());
            assert!(!state.movable());
        }
        let mut state = ResumeState::default();
        state.server_message(None, &fields());
        assert!(!state.movable(), "binary messages have no id");
    }
}
