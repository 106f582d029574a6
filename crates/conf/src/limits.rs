use std::time::Duration;

use crate::{Section, value};

/// What each target of a service can take.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Connections that a target takes, over all gates.
    pub connections: u32,
    /// Requests that a target runs at once right after a cold start.
    pub cold_slots: u32,
    /// Time that a target takes from a cold start to full speed.
    pub warmup: Duration,
}

impl Limits {
    /// Reads the section `limits`.
    pub(crate) fn read(section: Section<'_>) -> Option<Limits> {
        let slots = section.read_required("slots", value::number(1..=1_024));
        let connections = section.read_required("connections", value::number(1..=10_000));
        let cold_slots = section.read_optional("cold_slots", value::number(1..=1_024));
        let warmup_range = Duration::ZERO..=Duration::from_secs(3_600);
        let warmup = section.read_optional("warmup", value::span(warmup_range));
        let limits = Limits {
            slots: slots?,
            connections: connections?,
            cold_slots: cold_slots.unwrap_or(1),
            warmup: warmup.unwrap_or(Duration::from_secs(10)),
        };
        if limits.cold_slots > limits.slots {
            let message = String::from("expected at most the value of `slots`");
            section.record_error("cold_slots", "cold_slots", message);
            return None;
        }
        Some(limits)
    }
}
