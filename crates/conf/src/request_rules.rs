use std::time::Duration;

use crate::{Method, Section, value};

/// How the requests of a service are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestRules {
    /// Time for a whole request where the caller names no deadline.
    pub timeout: Duration,
    /// The methods whose requests may run more than once.
    pub idempotent_methods: Vec<Method>,
    /// Longest request body, in bytes.
    pub max_body: u64,
    /// Retries allowed, as a fraction of requests.
    pub retry_budget: f64,
    /// Hedges allowed, as a fraction of requests.
    pub hedge_budget: f64,
    /// The header that names the customer, for fair shares.
    pub customer_header: Option<String>,
}

impl RequestRules {
    /// Reads the section `requests`; every key has a default.
    pub(crate) fn read(section: Section<'_>) -> RequestRules {
        let timeout_range = Duration::from_millis(1)..=Duration::from_secs(3_600);
        let timeout = section.read_optional("timeout", value::span(timeout_range));
        let max_body = section.read_optional("max_body", value::size(0..=1 << 40));
        let retry_budget = section.read_optional("retry_budget", value::percent(0.0..=100.0));
        let hedge_budget = section.read_optional("hedge_budget", value::percent(0.0..=100.0));
        let idempotent = section.read_optional("idempotent", methods);
        let customer_header = section.read_optional("customer_header", value::header);
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

fn methods(text: &str) -> Result<Vec<Method>, String> {
    let parsed = text.split(',').map(|part| Method::parse(part.trim()));
    let methods: Option<Vec<Method>> = parsed.collect();
    let methods = methods.ok_or_else(|| String::from("methods such as GET, HEAD, PUT"))?;
    if !value::all_differ(&methods) {
        return Err(String::from("each method once"));
    }
    Ok(methods)
}
