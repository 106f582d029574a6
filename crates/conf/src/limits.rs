use std::time::Duration;

use crate::{Section, value};

/// Capacity limits of each target of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum number of requests that a target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections to a target, over all gates.
    pub connections: u32,
    /// Maximum number of requests that a target runs concurrently right after a cold start.
    pub cold_slots: u32,
    /// Time from a cold start until a target runs at full speed.
    pub warmup: Duration,
}

impl Limits {
    /// Parses the section `limits`.
    pub(crate) fn parse(section: Section<'_>) -> Option<Limits> {
        let slots = section.read_required("slots", value::parse_number(1..=1_024));
        let connections = section.read_required("connections", value::parse_number(1..=10_000));
        let cold_slots = section.read_optional("cold_slots", value::parse_number(1..=1_024));
        let warmup_range = Duration::ZERO..=Duration::from_secs(3_600);
        let warmup = section.read_optional("warmup", value::parse_duration(warmup_range));
        let limits = Limits {
            slots: slots?,
            connections: connections?,
            cold_slots: cold_slots.unwrap_or(1),
            warmup: warmup.unwrap_or(Duration::from_secs(10)),
        };
        if limits.cold_slots > limits.slots {
            let message = String::from("must be at most the value of `slots`");
            section.record_error("cold_slots", "cold_slots", message);
            return None;
        }
        Some(limits)
    }
}
