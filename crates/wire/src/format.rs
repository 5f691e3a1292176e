//! Formats of the messages between daemons, by version.
//!
//! The codec writes the fields of a message without names or types, so that a daemon can only read
//! messages with exactly the fields that it knows. During a rollout, a daemon therefore writes and
//! reads the format of its peer: fields that this format lacks are left out, and have their default
//! values when they are read. Such a field has the attribute `#[serde(with = "crate::format::later")]`.

use std::cell::Cell;

/// Format of messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Without evacuations, cold targets and attempts (up to commit a097dc6).
    Previous,
    /// All fields.
    #[default]
    Current,
}

impl Format {
    /// Number of the current format in [`crate::headers::FORMAT`]. Daemons of the previous one do not
    /// send the header.
    pub const CURRENT_NUMBER: &str = "2";

    /// Returns the format of a peer that sent this number.
    pub fn from_number(number: Option<&[u8]>) -> Self {
        match number {
            Some(_) => Self::Current,
            None => Self::Previous,
        }
    }
}

thread_local! {
    /// Format of the message that this thread encodes or decodes. Serde passes no context to fields.
    static FORMAT: Cell<Format> = const { Cell::new(Format::Current) };
}

/// Returns the result of `f`, which encodes or decodes a message of this format.
pub(crate) fn with_format<T>(format: Format, f: impl FnOnce() -> T) -> T {
    struct Restore(Format);
    impl Drop for Restore {
        fn drop(&mut self) {
            FORMAT.set(self.0);
        }
    }
    let _restore = Restore(FORMAT.replace(format));
    f()
}

/// A field that the previous format lacks.
pub(crate) mod later {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{FORMAT, Format};

    pub(crate) fn serialize<T: Serialize, S: Serializer>(
        value: &T,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match FORMAT.get() {
            // The codec writes nothing for a unit.
            Format::Previous => serializer.serialize_unit(),
            Format::Current => value.serialize(serializer),
        }
    }

    pub(crate) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
    where
        T: Deserialize<'de> + Default,
        D: Deserializer<'de>,
    {
        match FORMAT.get() {
            Format::Previous => Ok(T::default()),
            Format::Current => T::deserialize(deserializer),
        }
    }
}
