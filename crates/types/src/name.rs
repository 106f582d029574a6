use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Digits of a digest.
const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// A short name of 1 to 31 bytes of `a-z`, `0-9`, `-` and `.`, stored inline so that it is `Copy`.
///
/// An identifier that others have chosen may be longer or contain other characters. A digest then
/// stands for it, which is a valid name itself; see [`Name::of`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name {
    bytes: [u8; Name::MAX_BYTES],
    len: u8,
}

impl Name {
    /// Maximum length of a name, in bytes.
    pub const MAX_BYTES: usize = 31;
    /// Start of a digest.
    const DIGEST_PREFIX: &'static str = "x.";
    /// Length of a digest without its prefix, in bytes of the hash; each is written as two digits.
    const DIGEST_BYTES: usize = 14;

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

    /// Returns the name for an identifier that others have chosen: the identifier itself if it is a valid
    /// name, otherwise a digest of it. Every process computes the same one.
    ///
    /// An identifier that looks like a digest gets one, too, so that no identifier is another's digest.
    pub fn of(identifier: &str) -> Name {
        match Name::new(identifier) {
            Ok(name) if !name.is_digest() => name,
            _ => Name::digest(identifier),
        }
    }

    fn digest(identifier: &str) -> Name {
        let hash = blake3::hash(identifier.as_bytes());
        let mut name = Name { bytes: [0; Name::MAX_BYTES], len: 0 };
        name.push(Name::DIGEST_PREFIX.as_bytes());
        for byte in &hash.as_bytes()[..Name::DIGEST_BYTES] {
            let digit = |value: u8| HEX_DIGITS[usize::from(value)];
            name.push(&[digit(byte >> 4), digit(byte & 0xf)]);
        }
        name
    }

    /// Appends valid bytes, which must fit.
    fn push(&mut self, bytes: &[u8]) {
        let start = usize::from(self.len);
        self.bytes[start..start + bytes.len()].copy_from_slice(bytes);
        self.len += bytes.len() as u8;
    }

    /// Returns whether this is the digest of an identifier, so that it isn't the identifier itself.
    pub fn is_digest(&self) -> bool {
        let digits = self.as_str().strip_prefix(Name::DIGEST_PREFIX);
        digits.is_some_and(|digits| {
            digits.len() == 2 * Name::DIGEST_BYTES
                && digits.bytes().all(|digit| HEX_DIGITS.contains(&digit))
        })
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

            /// Returns the name for an identifier that others have chosen; see [`Name::of`].
            pub fn of(identifier: &str) -> $name {
                $name(Name::of(identifier))
            }

            /// Returns whether this is the digest of an identifier; see [`Name::is_digest`].
            pub fn is_digest(&self) -> bool {
                self.0.is_digest()
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
