//! Parsers of single values. Each error is a phrase that says what was expected.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// Parses an IP address and port.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| String::from("an IP address and port such as 10.0.0.1:8080"))
}

/// Parses an address to connect to: neither the IP address nor the port may be zero.
pub(crate) fn parse_remote_address(text: &str) -> Result<SocketAddr, String> {
    let address = parse_address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(String::from("an IP address and port, neither of them zero"));
    }
    Ok(address)
}

/// Parses an address that this process listens on and advertises to other hosts.
pub(crate) fn parse_advertised_address(text: &str) -> Result<SocketAddr, String> {
    parse_remote_address(text)
        .map_err(|_| String::from("an IP address and port of this host that other hosts can reach"))
}

/// Parses distinct addresses, separated by commas.
pub(crate) fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let addresses: Vec<SocketAddr> =
        text.split(',').map(|part| parse_remote_address(part.trim())).collect::<Result<_, _>>()?;
    if !are_distinct(&addresses) {
        return Err(String::from("each address once"));
    }
    Ok(addresses)
}

/// Returns whether no value occurs twice.
pub(crate) fn are_distinct<T>(values: &[T]) -> bool
where
    T: PartialEq,
{
    values.iter().enumerate().all(|(index, value)| !values[..index].contains(value))
}

/// Parses the name of an HTTP header and returns it in lower case.
pub(crate) fn parse_header_name(text: &str) -> Result<String, String> {
    let valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
    if text.is_empty() || !text.bytes().all(valid) {
        return Err(String::from("a header name such as X-Key"));
    }
    Ok(text.to_ascii_lowercase())
}

/// Parses an unsigned decimal number within a range.
pub(crate) fn parse_number<T>(range: RangeInclusive<T>) -> impl FnOnce(&str) -> Result<T, String>
where
    T: FromStr + PartialOrd + std::fmt::Display,
{
    move |text| {
        let digits = text.bytes().all(|b| b.is_ascii_digit());
        let value = text.parse().ok().filter(|value| digits && range.contains(value));
        value.ok_or_else(|| format!("a number from {} to {}", range.start(), range.end()))
    }
}

/// Parses a duration with its unit within a range.
pub(crate) fn parse_duration(
    range: RangeInclusive<Duration>,
) -> impl FnOnce(&str) -> Result<Duration, String> {
    move |text| {
        let value = duration_from_text(text).filter(|value| range.contains(value));
        value.ok_or_else(|| {
            format!(
                "a duration with its unit (ms, s, min) from {:?} to {:?}",
                range.start(),
                range.end()
            )
        })
    }
}

fn duration_from_text(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    match text[digits..].trim_start() {
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "min" => count.checked_mul(60).map(Duration::from_secs),
        _ => None,
    }
}

/// Parses a size with its unit within a range and returns it in bytes.
pub(crate) fn parse_size(range: RangeInclusive<u64>) -> impl FnOnce(&str) -> Result<u64, String> {
    move |text| {
        let value = size_from_text(text).filter(|value| range.contains(value));
        value.ok_or_else(|| {
            format!(
                "a size with its unit (B, KB, MB) from {} B to {} B",
                range.start(),
                range.end()
            )
        })
    }
}

fn size_from_text(text: &str) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    match text[digits..].trim_start() {
        "B" => Some(count),
        "KB" => count.checked_mul(1 << 10),
        "MB" => count.checked_mul(1 << 20),
        _ => None,
    }
}

/// Parses a percentage within a range and returns it as a fraction of 1.
pub(crate) fn parse_percent(
    range: RangeInclusive<f64>,
) -> impl FnOnce(&str) -> Result<f64, String> {
    move |text| {
        let number = text.strip_suffix('%').and_then(|digits| digits.trim().parse::<f64>().ok());
        let value = number.filter(|value| range.contains(value));
        let expected = || format!("a percentage from {}% to {}%", range.start(), range.end());
        value.map(|value| value / 100.0).ok_or_else(expected)
    }
}

/// Parses `yes` or `no`.
pub(crate) fn parse_yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(String::from("`yes` or `no`")),
    }
}

/// Parses the name of a service, server, host or zone.
pub(crate) fn parse_name<T>(text: &str) -> Result<T, String>
where
    T: FromStr<Err = bay_types::NameError>,
{
    text.parse().map_err(|_| {
        String::from(
            "a name of 1 to 31 characters from `a-z`, `0-9`, `-` and `.`, \
             with a letter or digit at each end",
        )
    })
}
