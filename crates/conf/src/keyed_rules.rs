use std::time::Duration;

use bay_types::SliceLayout;

use crate::{Section, value};

/// Rules of a keyed service: how its keys are divided into slices and how they are owned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRules {
    /// Part of a request that contains its key.
    pub source: KeySource,
    /// Division of the key hashes into ranges.
    pub layout: SliceLayout,
    /// Maximum number of hot keys that get a slice of their own.
    pub hot_keys: u32,
    /// Duration of a server's lease.
    pub lease: Duration,
    /// Maximum time for which existing leases are renewed while the store is unavailable.
    pub outage_hold: Duration,
    /// Whether the servers of the service check fencing tokens.
    pub fenced: bool,
}

/// Part of a request that contains its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// Value of the header with this name, in lower case.
    Header(String),
    /// Part of the path after a prefix, up to the next `/`.
    Path {
        /// Path up to the key; it starts and ends with `/`.
        prefix: String,
    },
}

impl KeyedRules {
    /// Minimum lease that a document may set.
    pub const MIN_LEASE: Duration = Duration::from_millis(200);
    /// Lease if the document sets none.
    pub const DEFAULT_LEASE: Duration = Duration::from_millis(1_200);
    /// Outage hold if the document sets none.
    pub const DEFAULT_OUTAGE_HOLD: Duration = Duration::from_secs(600);

    /// Parses the section `keys`.
    pub(crate) fn parse(section: Section<'_>) -> Option<KeyedRules> {
        let header = section.read_optional("header", value::parse_header_name);
        let prefix = section.read_optional("path", parse_path_prefix);
        let source = match (header, prefix) {
            (Some(name), None) => Some(KeySource::Header(name)),
            (None, Some(prefix)) => Some(KeySource::Path { prefix }),
            _ => {
                let message = String::from("expected exactly one of `header` and `path`");
                section.record_error("header", "header", message);
                None
            }
        };
        let layout = section.read_required("slices", parse_layout);
        let hot_keys =
            section.read_optional("hot_keys", value::parse_number(0..=SliceLayout::MAX_HOT_KEYS));
        let lease_range = KeyedRules::MIN_LEASE..=Duration::from_secs(60);
        let lease = section.read_optional("lease", value::parse_duration(lease_range));
        let hold_range = Duration::from_secs(1)..=Duration::from_secs(86_400);
        let hold = section.read_optional("outage_hold", value::parse_duration(hold_range));
        let (lease, hold) = (
            lease.unwrap_or(KeyedRules::DEFAULT_LEASE),
            hold.unwrap_or(KeyedRules::DEFAULT_OUTAGE_HOLD),
        );
        if hold < lease {
            let message = String::from("must be at least the value of `lease`");
            section.record_error("outage_hold", "outage_hold", message);
        }
        let fenced = section.read_required("fenced", value::parse_yes_no);
        Some(KeyedRules {
            source: source?,
            layout: layout?,
            hot_keys: hot_keys.unwrap_or(SliceLayout::MAX_HOT_KEYS),
            lease,
            outage_hold: hold,
            fenced: fenced?,
        })
    }
}

fn parse_path_prefix(text: &str) -> Result<String, String> {
    let expected = || String::from("a path such as /jobs/{key}");
    let prefix = text.strip_suffix("{key}").ok_or_else(expected)?;
    if !prefix.starts_with('/') || !prefix.ends_with('/') || prefix.contains(['{', '}', '?']) {
        return Err(expected());
    }
    Ok(prefix.to_owned())
}

fn parse_layout(text: &str) -> Result<SliceLayout, String> {
    let count = text.parse().ok();
    let layout = count.and_then(SliceLayout::new);
    layout.ok_or_else(|| format!("a power of two from 1 to {}", SliceLayout::MAX_RANGES))
}
