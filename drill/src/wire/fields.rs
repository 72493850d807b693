//! The values of one message, read in order.

use super::InputError;
use serde_json::Value;

/// The values of a message that have not been read yet.
pub struct Fields {
    event: String,
    values: std::vec::IntoIter<Value>,
}

impl Fields {
    /// Parses a line into a message.
    pub fn parse(line: &str) -> Result<Self, InputError> {
        let Value::Array(values) = serde_json::from_str(line)? else {
            return Err(InputError::NotAnEvent);
        };
        let mut values = values.into_iter();
        match values.next() {
            Some(Value::String(event)) => Ok(Fields { event, values }),
            _ => Err(InputError::NotAnEvent),
        }
    }

    /// An entry of a list within an event.
    pub fn entry(event: &str, values: Vec<Value>) -> Self {
        Fields { event: event.to_owned(), values: values.into_iter() }
    }

    /// The event's name.
    pub fn event(&self) -> &str {
        &self.event
    }

    /// Checks the number of values left.
    pub fn check_count(&self, least: usize, most: usize, expected: &'static str) -> Result<(), InputError> {
        let found = self.values.len();
        if (least..=most).contains(&found) {
            return Ok(());
        }
        Err(InputError::ValueCount { event: self.event.clone(), expected, found })
    }

    /// An error about a field.
    pub fn error(&self, field: &'static str, problem: String) -> InputError {
        InputError::Field { event: self.event.clone(), field, problem }
    }

    /// The next value, of any type.
    pub fn value(&mut self, field: &'static str) -> Result<Value, InputError> {
        self.values.next().ok_or_else(|| self.error(field, "missing".to_owned()))
    }

    fn optional<T>(
        &mut self,
        field: &'static str,
        what: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<Option<T>, InputError> {
        match self.value(field)? {
            Value::Null => Ok(None),
            value => match read(&value) {
                Some(read) => Ok(Some(read)),
                None => Err(self.error(field, format!("expected {what}, found {value}"))),
            },
        }
    }

    fn required<T>(&self, field: &'static str, value: Option<T>) -> Result<T, InputError> {
        value.ok_or_else(|| self.error(field, "missing".to_owned()))
    }

    /// An unsigned integer or null.
    pub fn optional_integer(&mut self, field: &'static str) -> Result<Option<u64>, InputError> {
        self.optional(field, "a whole number", Value::as_u64)
    }

    /// An unsigned integer.
    pub fn integer(&mut self, field: &'static str) -> Result<u64, InputError> {
        let value = self.optional_integer(field)?;
        self.required(field, value)
    }

    /// An unsigned 32-bit integer.
    pub fn integer_32(&mut self, field: &'static str) -> Result<u32, InputError> {
        let value = self.integer(field)?;
        u32::try_from(value).map_err(|_| self.error(field, format!("{value} is too large")))
    }

    /// A number of 0 or more, or null.
    pub fn optional_number(&mut self, field: &'static str) -> Result<Option<f64>, InputError> {
        self.optional(field, "a number of 0 or more", |v| v.as_f64().filter(|n| *n >= 0.0))
    }

    /// A number of 0 or more.
    pub fn number(&mut self, field: &'static str) -> Result<f64, InputError> {
        let value = self.optional_number(field)?;
        self.required(field, value)
    }

    /// A boolean or null.
    pub fn optional_bool(&mut self, field: &'static str) -> Result<Option<bool>, InputError> {
        self.optional(field, "true or false", Value::as_bool)
    }

    /// A string or null.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<String>, InputError> {
        self.optional(field, "a text", |v| v.as_str().map(str::to_owned))
    }

    /// A string.
    pub fn text(&mut self, field: &'static str) -> Result<String, InputError> {
        let value = self.optional_text(field)?;
        self.required(field, value)
    }

    /// Index of a name in a list of the settings; `None` for null, 0 and the empty name.
    pub fn optional_named(
        &mut self,
        field: &'static str,
        names: &[String],
    ) -> Result<Option<usize>, InputError> {
        let name = match self.value(field)? {
            Value::Null => return Ok(None),
            Value::Number(n) if n.as_u64() == Some(0) => return Ok(None),
            Value::String(name) if name.is_empty() => return Ok(None),
            Value::String(name) => name,
            value => return Err(self.error(field, format!("expected a name, found {value}"))),
        };
        match names.iter().position(|known| *known == name) {
            Some(index) => Ok(Some(index)),
            None => Err(self.error(field, format!("`{name}` is not in the settings"))),
        }
    }

    /// Index of a name in a list of the settings.
    pub fn named(&mut self, field: &'static str, names: &[String]) -> Result<usize, InputError> {
        let index = self.optional_named(field, names)?;
        self.required(field, index)
    }
}
