use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A short name of 1 to 31 bytes of `a-z`, `0-9`, `-` and `.`, stored inline so that it is `Copy`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name {
    bytes: [u8; Name::MAX_BYTES],
    len: u8,
}

impl Name {
    /// Maximum length of a name, in bytes.
    pub const MAX_BYTES: usize = 31;

    /// Validates and copies a name.
    ///
    /// # Errors
    /// Returns an error if the text is empty, too long, contains a byte that names may not contain,
    /// or starts or ends with punctuation.
    pub fn new(text: &str) -> Result<Name, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > Name::MAX_BYTES {
            return Err(NameError::TooLong);
        }
        let allowed =
            |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
        if !text.bytes().all(allowed) {
            return Err(NameError::InvalidByte);
        }
        let is_valid_edge = |b: Option<&u8>| b.is_some_and(u8::is_ascii_alphanumeric);
        if !is_valid_edge(text.as_bytes().first()) || !is_valid_edge(text.as_bytes().last()) {
            return Err(NameError::InvalidEdge);
        }
        let mut bytes = [0; Name::MAX_BYTES];
        bytes[..text.len()].copy_from_slice(text.as_bytes());
        Ok(Name { bytes, len: text.len() as u8 })
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.len)]).unwrap_or_default()
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), f)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Name, NameError> {
        Name::new(text)
    }
}

impl Serialize for Name {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D>(deserializer: D) -> Result<Name, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        Name::new(&text).map_err(serde::de::Error::custom)
    }
}

/// The reason why a text is not a valid [`Name`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`Name::MAX_BYTES`].
    TooLong,
    /// The text contains a byte other than `a-z`, `0-9`, `-` and `.`.
    InvalidByte,
    /// The text starts or ends with punctuation.
    InvalidEdge,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NameError::Empty => "expected a name, found nothing",
            NameError::TooLong => "expected a name of at most 31 bytes",
            NameError::InvalidByte => "expected a name of `a-z`, `0-9`, `-` and `.` only",
            NameError::InvalidEdge => "expected a name that starts and ends with a letter or digit",
        })
    }
}

impl std::error::Error for NameError {}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Name);

        impl $name {
            /// Validates and copies a name.
            ///
            /// # Errors
            /// Returns an error if the text is not a valid [`Name`].
            pub fn new(text: &str) -> Result<$name, NameError> {
                Name::new(text).map($name)
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<$name, NameError> {
                $name::new(text)
            }
        }
    )*};
}

names! {
    /// The name of an availability zone.
    ZoneName;
    /// The name of a service.
    ServiceName;
    /// The name of a server or target, unique within its service.
    ServerName;
    /// The name of a customer, the unit of fair sharing.
    CustomerName;
    /// The name of a client account.
    AccountName;
    /// The name of a host that runs gates, stewards or routers.
    HostName;
}
