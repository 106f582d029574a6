use std::time::Duration;

use crate::{Method, Section, value};

/// Rules for the requests of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestRules {
    /// Maximum time for a request, over all its attempts. A caller can set only a shorter deadline.
    pub timeout: Duration,
    /// Methods whose requests may run more than once.
    pub idempotent_methods: Vec<Method>,
    /// Maximum length of a request's body, in bytes.
    pub max_body: u64,
    /// Retry budget, as a fraction of the requests.
    pub retry_budget: f64,
    /// Budget of hedged attempts, as a fraction of the requests.
    pub hedge_budget: f64,
    /// Name of the header that identifies the customer, for fair sharing between customers.
    pub customer_header: Option<String>,
}

impl RequestRules {
    /// Parses the section `requests`, in which every key has a default.
    pub(crate) fn parse(section: Section<'_>) -> RequestRules {
        let timeout_range = Duration::from_millis(1)..=Duration::from_secs(3_600);
        let timeout = section.read_optional("timeout", value::parse_duration(timeout_range));
        let max_body = section.read_optional("max_body", value::parse_size(0..=1 << 40));
        let retry_budget = section.read_optional("retry_budget", value::parse_percent(0.0..=100.0));
        let hedge_budget = section.read_optional("hedge_budget", value::parse_percent(0.0..=100.0));
        let idempotent = section.read_optional("idempotent", parse_methods);
        let customer_header = section.read_optional("customer_header", value::parse_header_name);
        RequestRules {
            timeout: timeout.unwrap_or(Duration::from_secs(10)),
            idempotent_methods: idempotent
                .unwrap_or_else(|| vec![Method::Get, Method::Head, Method::Options]),
            max_body: max_body.unwrap_or(1 << 20),
            retry_budget: retry_budget.unwrap_or(0.1),
            hedge_budget: hedge_budget.unwrap_or(0.05),
            customer_header,
        }
    }
}

fn parse_methods(text: &str) -> Result<Vec<Method>, String> {
    let parsed = text.split(',').map(|part| Method::parse(part.trim()));
    let methods: Option<Vec<Method>> = parsed.collect();
    let methods = methods.ok_or_else(|| String::from("methods such as GET, HEAD, PUT"))?;
    if !value::are_distinct(&methods) {
        return Err(String::from("each method once"));
    }
    Ok(methods)
}
