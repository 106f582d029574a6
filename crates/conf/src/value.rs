//! Readers of single values; each error says what was expected.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// Reads an IP address and port.
pub(crate) fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| String::from("an IP address and port such as 10.0.0.1:8080"))
}

/// Reads the address of a process on another host.
pub(crate) fn remote_address(text: &str) -> Result<SocketAddr, String> {
    let address = address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(String::from("an IP address and port of one host, neither of them zero"));
    }
    Ok(address)
}

/// Reads an address that this process tells others.
pub(crate) fn own_address(text: &str) -> Result<SocketAddr, String> {
    remote_address(text)
        .map_err(|_| String::from("the host's own IP address and port, which others are told"))
}

/// Reads addresses parted by commas.
pub(crate) fn addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let addresses: Vec<SocketAddr> =
        text.split(',').map(|part| remote_address(part.trim())).collect::<Result<_, _>>()?;
    if !all_differ(&addresses) {
        return Err(String::from("each address once"));
    }
    Ok(addresses)
}

/// Whether no value stands twice in a list.
pub(crate) fn all_differ<T>(values: &[T]) -> bool
where
    T: PartialEq,
{
    values.iter().enumerate().all(|(index, value)| !values[..index].contains(value))
}

/// Reads the name of an HTTP header, in lower case.
pub(crate) fn header(text: &str) -> Result<String, String> {
    let valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
    if text.is_empty() || !text.bytes().all(valid) {
        return Err(String::from("a header name such as X-Key"));
    }
    Ok(text.to_ascii_lowercase())
}

/// Reads a whole number within a range.
pub(crate) fn number<T>(range: RangeInclusive<T>) -> impl FnOnce(&str) -> Result<T, String>
where
    T: FromStr + PartialOrd + std::fmt::Display,
{
    move |text| {
        let digits = text.bytes().all(|b| b.is_ascii_digit());
        let value = text.parse().ok().filter(|value| digits && range.contains(value));
        value.ok_or_else(|| format!("a number from {} to {}", range.start(), range.end()))
    }
}

/// Reads a time with its unit within a range.
pub(crate) fn span(
    range: RangeInclusive<Duration>,
) -> impl FnOnce(&str) -> Result<Duration, String> {
    move |text| {
        let value = parse_span(text).filter(|value| range.contains(value));
        value.ok_or_else(|| {
            format!(
                "a time with its unit (ms, s, min) from {:?} to {:?}",
                range.start(),
                range.end()
            )
        })
    }
}

fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    match text[digits..].trim_start() {
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "min" => count.checked_mul(60).map(Duration::from_secs),
        _ => None,
    }
}

/// Reads a size with its unit within a range, in bytes.
pub(crate) fn size(range: RangeInclusive<u64>) -> impl FnOnce(&str) -> Result<u64, String> {
    move |text| {
        let value = parse_size(text).filter(|value| range.contains(value));
        value.ok_or_else(|| {
            format!(
                "a size with its unit (B, KB, MB) from {} B to {} B",
                range.start(),
                range.end()
            )
        })
    }
}

fn parse_size(text: &str) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    match text[digits..].trim_start() {
        "B" => Some(count),
        "KB" => count.checked_mul(1 << 10),
        "MB" => count.checked_mul(1 << 20),
        _ => None,
    }
}

/// Reads a percentage within a range, as a fraction of 1.
pub(crate) fn percent(range: RangeInclusive<f64>) -> impl FnOnce(&str) -> Result<f64, String> {
    move |text| {
        let number = text.strip_suffix('%').and_then(|digits| digits.trim().parse::<f64>().ok());
        let value = number.filter(|value| range.contains(value));
        let expected = || format!("a percentage from {}% to {}%", range.start(), range.end());
        value.map(|value| value / 100.0).ok_or_else(expected)
    }
}

/// Reads `yes` or `no`.
pub(crate) fn yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(String::from("`yes` or `no`")),
    }
}

/// Reads a name.
pub(crate) fn name<T>(text: &str) -> Result<T, String>
where
    T: FromStr<Err = bay_types::NameError>,
{
    text.parse().map_err(|_| String::from("a name of 1 to 31 of `a-z`, `0-9`, `-` and `.`"))
}
