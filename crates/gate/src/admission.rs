use std::time::Duration;

use bay_call::{Action, Call, CallId, Counter, Fingerprint, RequestHead};
use bay_time::Time;
use bay_types::{CustomerName, ErrorKind};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Gate;
use crate::gate::{call_id, retry_after};
use crate::pending_call::{PendingCall, Phase};
use crate::service::Service;

/// The header with the caller's timeout in milliseconds.
const DEADLINE_HEADER: &str = "bay-deadline-ms";
/// The header that identifies copies of one request.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Bit that marks the ids of requests that were not admitted.
const UNADMITTED_CALL: u64 = 1 << 63;

impl Gate {
    /// Begins a request: admits and places it, or refuses it.
    pub fn begin_call<H>(&mut self, now: Time, head: &H, out: &mut Vec<Action>) -> CallId
    where
        H: RequestHead,
    {
        self.count(Counter::Requests);
        match self.admit(now, head) {
            Ok(pending) => {
                let claim_digest = pending.claim_digest;
                let id = call_id(self.calls.insert(pending));
                match claim_digest {
                    Some(digest) => self.start_claim(now, id, digest, out),
                    None => self.place(now, id, out),
                }
                self.run_pending_work(now, out);
                id
            }
            Err(kind) => self.refuse_unadmitted(kind, out),
        }
    }

    /// Refuses a request that was not admitted, under an id that no admitted request uses.
    fn refuse_unadmitted(&mut self, kind: ErrorKind, out: &mut Vec<Action>) -> CallId {
        self.unadmitted_calls += 1;
        let call = CallId(UNADMITTED_CALL | self.unadmitted_calls);
        self.counters.count_refusal(kind);
        out.push(Action::Refuse { call, kind, retry_after: retry_after(kind, None) });
        call
    }

    /// Checks a request against the gate's state and limits and its service's document.
    ///
    /// # Errors
    ///
    /// The error to answer with if the request is not admitted.
    fn admit<H>(&mut self, now: Time, head: &H) -> Result<PendingCall, ErrorKind>
    where
        H: RequestHead,
    {
        if !self.is_ready() {
            return Err(ErrorKind::NotReady);
        }
        if self.calls.len() >= self.limits.max_calls {
            return Err(ErrorKind::GateOverloaded);
        }
        let host = head.host().ok_or(ErrorKind::BadRequest)?;
        let id = *self.services_by_host.get(host).ok_or(ErrorKind::UnknownHost)?;
        let service = self.services.get_mut(id).ok_or(ErrorKind::UnknownHost)?;
        let method = head.method().ok_or(ErrorKind::MethodNotAllowed)?;
        let key = service.request_key(head);
        if service.routes.is_some() && key.is_none() {
            return Err(ErrorKind::KeyMissing);
        }
        let time = time_budget(service, head)?;
        if let Some(key) = key {
            service.hot_keys.record(now, key);
        }
        let idempotent = service.is_idempotent(method);
        let claim_digest = if idempotent { None } else { hash_idempotency_key(service, head) };
        let call = Call::new(idempotent, now + time);
        let fingerprint = Fingerprint::of(service.name, head, service.key_header());
        let customer = customer_name(service, head);
        Ok(PendingCall {
            service: id,
            call,
            fingerprint,
            key,
            customer,
            claim_digest,
            phase: Phase::Placing,
            permits: [None, None],
            excluded_targets: Vec::new(),
            ticket: None,
            retry_paid: false,
            sent_token: None,
            rejected_token: None,
            ownerless_since: None,
            hedge_at: None,
            is_suspect: false,
            fallback_error: ErrorKind::DeadlineTooShort,
        })
    }
}

/// Returns a request's timeout: the caller's, capped by the one of the service's document.
///
/// # Errors
///
/// `BadRequest` if the header is not a number, `DeadlineTooShort` if it is zero.
fn time_budget<H>(service: &Service, head: &H) -> Result<Duration, ErrorKind>
where
    H: RequestHead,
{
    let cap = service.doc.requests.timeout;
    let Some(text) = head.header(DEADLINE_HEADER) else {
        return Ok(cap);
    };
    let millis: u64 = text.trim().parse().map_err(|_| ErrorKind::BadRequest)?;
    match Duration::from_millis(millis) {
        Duration::ZERO => Err(ErrorKind::DeadlineTooShort),
        time => Ok(time.min(cap)),
    }
}

/// Returns the customer that the request's header names, if the service has such a header.
fn customer_name<H>(service: &Service, head: &H) -> Option<CustomerName>
where
    H: RequestHead,
{
    let header = service.doc.requests.customer_header.as_deref()?;
    CustomerName::new(head.header(header)?).ok()
}

/// Returns the digest of the idempotency key together with its service and customer.
///
/// Returns `None` if the request has no key or an empty one.
fn hash_idempotency_key<H>(service: &Service, head: &H) -> Option<u64>
where
    H: RequestHead,
{
    let key = head.header(IDEMPOTENCY_HEADER).filter(|key| !key.is_empty())?;
    let customer = service.doc.requests.customer_header.as_deref();
    let customer = customer.and_then(|name| head.header(name)).unwrap_or("");
    let mut digest = 0;
    for part in [service.name.as_str(), customer, key] {
        digest = xxh3_64_with_seed(part.as_bytes(), digest);
    }
    Some(digest)
}
