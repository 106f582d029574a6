use std::time::Duration;

use bay_types::SliceLayout;

use crate::{Section, value};

/// How a service's keys are divided and owned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRules {
    /// Where a request carries its key.
    pub source: KeySource,
    /// The ranges of the key hash.
    pub layout: SliceLayout,
    /// How many hot keys may get a slice of their own.
    pub hot_keys: u32,
    /// How long a server's lease runs.
    pub lease: Duration,
    /// How long leases that stand are renewed while the store is out.
    pub outage_hold: Duration,
    /// Whether the servers check fencing tokens.
    pub fenced: bool,
}

/// Where a request carries its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// The value of this header.
    Header(String),
    /// The path's part after this prefix, up to the next `/`.
    Path {
        /// The path before the key.
        prefix: String,
    },
}

impl KeyedRules {
    /// Shortest lease.
    pub const MIN_LEASE: Duration = Duration::from_millis(200);
    /// Lease where the document names none.
    pub const DEFAULT_LEASE: Duration = Duration::from_millis(1_200);
    /// Outage hold where the document names none.
    pub const DEFAULT_OUTAGE_HOLD: Duration = Duration::from_secs(600);

    /// Reads the section `keys`.
    pub(crate) fn read(section: Section<'_>) -> Option<KeyedRules> {
        let header = section.read_optional("header", value::header);
        let prefix = section.read_optional("path", path_prefix);
        let source = match (header, prefix) {
            (Some(name), None) => Some(KeySource::Header(name)),
            (None, Some(prefix)) => Some(KeySource::Path { prefix }),
            _ => {
                let message = String::from("expected exactly one of `header` and `path`");
                section.record_error("header", "header", message);
                None
            }
        };
        let layout = section.read_required("slices", layout);
        let hot_keys =
            section.read_optional("hot_keys", value::number(0..=SliceLayout::MAX_HOT_KEYS));
        let lease_range = KeyedRules::MIN_LEASE..=Duration::from_secs(60);
        let lease = section.read_optional("lease", value::span(lease_range));
        let hold_range = Duration::from_secs(1)..=Duration::from_secs(86_400);
        let hold = section.read_optional("outage_hold", value::span(hold_range));
        let (lease, hold) = (
            lease.unwrap_or(KeyedRules::DEFAULT_LEASE),
            hold.unwrap_or(KeyedRules::DEFAULT_OUTAGE_HOLD),
        );
        if hold < lease {
            let message = String::from("expected at least the value of `lease`");
            section.record_error("outage_hold", "outage_hold", message);
        }
        let fenced = section.read_required("fenced", value::yes_no);
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

fn path_prefix(text: &str) -> Result<String, String> {
    let expected = || String::from("a path such as /jobs/{key}");
    let prefix = text.strip_suffix("{key}").ok_or_else(expected)?;
    if !prefix.starts_with('/') || !prefix.ends_with('/') || prefix.contains(['{', '}', '?']) {
        return Err(expected());
    }
    Ok(prefix.to_owned())
}

fn layout(text: &str) -> Result<SliceLayout, String> {
    let count = text.parse().ok();
    let layout = count.and_then(SliceLayout::new);
    layout.ok_or_else(|| format!("a power of two from 1 to {}", SliceLayout::MAX_RANGES))
}
