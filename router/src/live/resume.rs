//! What passes over a long-lived connection, as far as it matters: whether text is text, where messages end, which one
//! came last, and whether what the client said has been acknowledged. Knows neither sockets nor frames' bytes; takes
//! no decision but whether a connection may move.

use crate::config::websocket::ResumeFields;
use actix_http::ws::{Frame, Item};
use serde::de::{DeserializeSeed, IgnoredAny, MapAccess, Visitor};
use std::fmt;

/// The id of a message is no longer than this: it goes into a header.
const LONGEST_ID: usize = 256;

/// What a frame does that nobody may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Text that is none: 1007.
    NotText,
    /// A message that is larger than any may be: 1009.
    TooLarge,
}

/// A message that is under way, in one direction.
#[derive(Default)]
pub struct Message {
    text: bool,
    open: bool,
    size: usize,
    /// The end of a character that has not come whole.
    part: Vec<u8>,
    /// What came of it, where its content matters.
    kept: Vec<u8>,
}

/// What a frame meant.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// A control frame.
    Control,
    /// Part of a message that goes on.
    Part,
    /// A message is whole; with its text, where that matters.
    Whole(Option<Vec<u8>>),
}

impl Message {
    /// Whether a message is under way.
    pub fn open(&self) -> bool {
        self.open
    }

    /// Bytes kept of it.
    pub fn held(&self) -> usize {
        self.kept.len()
    }

    /// A frame passes; `most`: a message's largest size, `keep`: whether its text matters.
    pub fn pass(&mut self, frame: &Frame, most: usize, keep: bool) -> Result<Step, Fault> {
        let (piece, text, last) = match frame {
            Frame::Text(piece) => (piece, Some(true), true),
            Frame::Binary(piece) => (piece, Some(false), true),
            Frame::Continuation(Item::FirstText(piece)) => (piece, Some(true), false),
            Frame::Continuation(Item::FirstBinary(piece)) => (piece, Some(false), false),
            Frame::Continuation(Item::Continue(piece)) => (piece, None, false),
            Frame::Continuation(Item::Last(piece)) => (piece, None, true),
            Frame::Ping(_) | Frame::Pong(_) | Frame::Close(_) => return Ok(Step::Control),
        };
        if let Some(text) = text {
            (self.text, self.size) = (text, 0);
            self.part.clear();
            self.kept.clear();
        }
        self.open = !last;
        self.size = self.size.saturating_add(piece.len());
        if self.size > most {
            return Err(Fault::TooLarge);
        }
        if self.text {
            self.check(piece, last)?;
        }
        let keep = keep && self.text;
        if keep {
            self.kept.extend_from_slice(piece);
        }
        if !last {
            return Ok(Step::Part);
        }
        // Nothing is held for a connection between its messages.
        self.part = Vec::new();
        let kept = std::mem::take(&mut self.kept);
        Ok(Step::Whole(keep.then_some(kept)))
    }

    /// Text is UTF-8 over its fragments, which may cut a character.
    fn check(&mut self, piece: &[u8], last: bool) -> Result<(), Fault> {
        let joined: Vec<u8>;
        let bytes = if self.part.is_empty() {
            piece
        } else {
            joined = [self.part.as_slice(), piece].concat();
            &joined
        };
        let rest = match std::str::from_utf8(bytes) {
            Ok(_) => &[],
            Err(error) if error.error_len().is_some() => return Err(Fault::NotText),
            Err(error) => &bytes[error.valid_up_to()..],
        };
        if last && !rest.is_empty() {
            return Err(Fault::NotText);
        }
        self.part = rest.to_vec();
        Ok(())
    }
}

/// Where a connection stands: what a new server has to be told, and whether it can be.
#[derive(Debug, Default)]
pub struct Place {
    last_id: Option<String>,
    /// Something came that a new server cannot be asked to go on behind.
    lost: bool,
    said: u64,
    done: u64,
}

impl Place {
    /// The last message that the client got.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Nothing would be lost, and nothing told twice, if another server took it now.
    pub fn movable(&self) -> bool {
        !self.lost && self.done >= self.said
    }

    /// The client said something whole.
    pub fn said(&mut self) {
        self.said += 1;
    }

    /// A whole message of the server passed; none if its content is not known.
    pub fn heard(&mut self, text: Option<&[u8]>, fields: &ResumeFields) {
        let told = text.and_then(|text| read(text, fields)).unwrap_or_default();
        if let Some(ack) = told.ack {
            self.done = self.done.max(ack.min(self.said));
        }
        // A word that only acknowledges needs no id: it is not part of what is followed.
        let bare = told.ack.is_some() && told.id.is_none();
        match told.id.filter(|id| fits(id)) {
            Some(id) => (self.last_id, self.lost) = (Some(id), false),
            None => self.lost |= !bare,
        }
    }
}

/// Whether an id may stand in a header.
fn fits(id: &str) -> bool {
    !id.is_empty() && id.len() <= LONGEST_ID && id.bytes().all(|byte| (0x20..0x7f).contains(&byte))
}

#[derive(Debug, Default, PartialEq)]
struct Told {
    id: Option<String>,
    ack: Option<u64>,
}

/// The members that matter of a JSON object.
fn read(text: &[u8], fields: &ResumeFields) -> Option<Told> {
    let mut from = serde_json::Deserializer::from_slice(text);
    let told = Wanted(fields).deserialize(&mut from).ok()?;
    from.end().ok()?;
    Some(told)
}

struct Wanted<'f>(&'f ResumeFields);

impl<'de> DeserializeSeed<'de> for Wanted<'_> {
    type Value = Told;
    fn deserialize<D: serde::Deserializer<'de>>(self, from: D) -> Result<Told, D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Wanted<'_> {
    type Value = Told;

    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Told, A::Error> {
        let mut told = Told::default();
        while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            if self.0.id.as_deref() == Some(key.as_ref()) {
                told.id = match map.next_value::<serde_json::Value>()? {
                    serde_json::Value::String(id) => Some(id),
                    serde_json::Value::Number(id) => Some(id.to_string()),
                    _ => None,
                };
            } else if self.0.ack.as_deref() == Some(key.as_ref()) {
                told.ack = map.next_value::<serde_json::Value>()?.as_u64();
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(told)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;

    fn fields() -> ResumeFields {
        ResumeFields { id: Some("id".to_owned()), ack: Some("ack".to_owned()) }
    }

    /// A character may be cut by fragments, but not by a message's end; other bytes end it at once.
    #[test]
    fn text_is_checked_over_fragments() {
        let first = |piece: &'static [u8]| Frame::Continuation(Item::FirstText(Bytes::from_static(piece)));
        let last = |piece: &'static [u8]| Frame::Continuation(Item::Last(Bytes::from_static(piece)));
        let mut message = Message::default();
        assert_eq!(message.pass(&first(b"gr\xc3"), 100, true), Ok(Step::Part));
        assert!(message.open());
        assert_eq!(message.pass(&Frame::Ping(Bytes::new()), 100, true), Ok(Step::Control));
        assert_eq!(message.pass(&last(b"\xbc\xc3\x9f"), 100, true), Ok(Step::Whole(Some("grüß".into()))));
        assert_eq!(message.pass(&first(b"a\xe2\x82"), 100, true), Ok(Step::Part));
        assert_eq!(message.pass(&last(b""), 100, true), Err(Fault::NotText));
        assert_eq!(message.pass(&first(b"\xed\xa0\x80"), 100, true), Err(Fault::NotText));
        let binary = Frame::Binary(Bytes::from_static(b"\xff\xfe"));
        assert_eq!(message.pass(&binary, 100, true), Ok(Step::Whole(None)));
        assert_eq!(message.pass(&first(b"12345"), 8, false), Ok(Step::Part));
        assert_eq!(message.pass(&last(b"6789"), 8, false), Err(Fault::TooLarge));
    }

    /// A connection moves only behind an id, and with nothing unacknowledged.
    #[test]
    fn what_would_be_lost_or_told_twice_does_not_move() {
        let mut place = Place::default();
        assert!(place.movable(), "nothing has passed");
        place.heard(Some(br#"{"line":"x","id":"7"}"#), &fields());
        assert_eq!((place.movable(), place.last_id()), (true, Some("7")));
        place.heard(Some(br#"{"line":"no id"}"#), &fields());
        assert!(!place.movable());
        place.heard(Some(br#"{"id":8,"x":{"id":"inner"}}"#), &fields());
        assert_eq!((place.movable(), place.last_id()), (true, Some("8")));
        place.said();
        place.said();
        place.heard(Some(br#"{"ack":1}"#), &fields());
        assert!(!place.movable());
        place.heard(Some(br#"{"ack":99}"#), &fields());
        assert!(place.movable());
        place.said();
        assert!(!place.movable(), "an acknowledgement ahead of its time counts for nothing");
        for bad in [&b"{\"id\":\"a\\nb\"}"[..], b"[1]", b"{\"id\":", b"\xff"] {
            let mut place = Place::default();
            place.heard(Some(bad), &fields());
            assert!(!place.movable());
        }
        let mut place = Place::default();
        place.heard(None, &fields());
        assert!(!place.movable(), "binary messages have no id");
    }
}
