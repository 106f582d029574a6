use std::time::Duration;

use bay_call::{Action, Call, CallId, Counter, Fingerprint, RequestHead};
use bay_time::Time;
use bay_types::{CustomerName, ErrorKind};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Gate;
use crate::gate::{id_of, retry_after};
use crate::pending::{Pending, Phase};
use crate::service::Service;

/// The header in which a caller says how much time it has, in milliseconds.
const DEADLINE_HEADER: &str = "bay-deadline-ms";
/// The header with which a caller names copies of one request.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Marks the numbers of requests that were not admitted.
const TURNED_AWAY: u64 = 1 << 63;

impl Gate {
    /// Takes a request and appends what is to be done for it.
    pub fn begin_call<H>(&mut self, now: Time, head: &H, out: &mut Vec<Action>) -> CallId
    where
        H: RequestHead,
    {
        self.count(Counter::Requests);
        match self.admit(now, head) {
            Ok(pending) => {
                let claim = pending.claim;
                let id = id_of(self.calls.insert(pending));
                match claim {
                    Some(digest) => self.claim(now, id, digest, out),
                    None => self.place(now, id, out),
                }
                self.settle(now, out);
                id
            }
            Err(kind) => self.turn_away(kind, out),
        }
    }

    /// Refuses a request that was not admitted, under a number of its own.
    fn turn_away(&mut self, kind: ErrorKind, out: &mut Vec<Action>) -> CallId {
        self.turned_away += 1;
        let call = CallId(TURNED_AWAY | self.turned_away);
        self.counters.count_refusal(kind);
        out.push(Action::Refuse { call, kind, retry_after: retry_after(kind, None) });
        call
    }

    fn admit<H>(&mut self, now: Time, head: &H) -> Result<Pending, ErrorKind>
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
        let id = *self.hosts.get(host).ok_or(ErrorKind::UnknownHost)?;
        let service = self.services.get_mut(id).ok_or(ErrorKind::UnknownHost)?;
        let method = head.method().ok_or(ErrorKind::MethodNotAllowed)?;
        let key = service.key_of(head);
        if service.routes.is_some() && key.is_none() {
            return Err(ErrorKind::KeyMissing);
        }
        let time = time_of(service, head)?;
        if let Some(key) = key {
            service.hot_keys.record(now, key);
        }
        let idempotent = service.idempotent(method);
        let claim = if idempotent { None } else { claim_digest(service, head) };
        let call = Call::new(idempotent, now + time);
        let fingerprint = Fingerprint::of(service.name, head, service.key_header());
        let customer = customer_of(service, head);
        Ok(Pending {
            service: id,
            call,
            fingerprint,
            key,
            customer,
            claim,
            phase: Phase::Placing,
            permits: [None, None],
            exclude: Vec::new(),
            ticket: None,
            paid: false,
            sent_token: None,
            refused_token: None,
            ownerless_since: None,
            hedge_at: None,
            suspect: false,
            fallback: ErrorKind::DeadlineTooShort,
        })
    }
}

/// The time that a request has: the caller's, capped by the document's.
fn time_of<H>(service: &Service, head: &H) -> Result<Duration, ErrorKind>
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

fn customer_of<H>(service: &Service, head: &H) -> Option<CustomerName>
where
    H: RequestHead,
{
    let header = service.doc.requests.customer_header.as_deref()?;
    CustomerName::new(head.header(header)?).ok()
}

/// The digest of an idempotency key within its service and customer.
fn claim_digest<H>(service: &Service, head: &H) -> Option<u64>
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
