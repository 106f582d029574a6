use std::rc::Rc;
use std::time::Duration;

use bay_range::{Granter, GranterAction, HoldTimes, RangeTable};
use bay_router::{OwnerMap, PeerMessage, object_key};
use bay_store::{Precondition, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::{Revision, ServiceName, Term};

use super::{Shell, orders, others};

/// Most changed ranges in one datagram: 27 bytes each where all have an owner.
const MAX_CHANGES: usize = 1_500;

/// Reads a service's table at the start of a term.
pub(super) async fn load(shell: Rc<Shell>, service: ServiceName, term: Term) {
    let Some(key) = object_key::ranges(service) else {
        return;
    };
    let result = shell.store.call(&StoreRequest::Get { key }).await;
    let now = BootClock.now();
    let times = HoldTimes::bounded_by(shell.settings.bounds.longest_hold);
    let granting = &mut *shell.granting.borrow_mut();
    if granting.term() != Some(term) {
        return;
    }
    let Some(granted) = granting.services.get_mut(&service) else {
        return;
    };
    granted.loading = false;
    let (table, revision) = match result {
        Ok(StoreReply::Object(None)) => (RangeTable::default(), None),
        Ok(StoreReply::Object(Some(object))) => match serde_json::from_str(&object.body) {
            Ok(table) => (table, Some(object.revision)),
            Err(error) => {
                log::error!(service:% = service, error:% = error; "range table not understood");
                return;
            }
        },
        _ => return,
    };
    if table.term > term {
        log::warn!(service:% = service, term = table.term.0; "table of a later term");
        granting.leadership.handle_heartbeat(now, table.term, 0, Duration::ZERO);
        granting.services.clear();
        return;
    }
    log::info!(
        service:% = service,
        term = term.0,
        ranges = table.holdings.len();
        "range table taken over"
    );
    granted.revision = revision;
    let mut granter = Granter::take_over(now, term, times, table);
    match granting.leadership.has_earlier_granters() {
        false if granting.leadership.has_settled_predecessor() => {
            granter.record_predecessor_settled(now)
        }
        false => granter.record_predecessors_ended(now),
        true => {}
    }
    granted.granter = Some(granter);
}

pub(super) fn act(
    shell: &Rc<Shell>,
    service: ServiceName,
    term: Term,
    actions: Vec<GranterAction>,
) {
    for action in actions {
        match action {
            GranterAction::Save(table) => {
                shell.spawn(save(Rc::clone(shell), service, term, table));
            }
            GranterAction::Order { id, to, address, order } => {
                let ordering = Rc::clone(shell);
                shell.spawn(async move {
                    let result = orders::send(&ordering, to.server, address, &order).await;
                    log::debug!(server:% = to.server, order:? = order, result:? = result; "order");
                    let now = BootClock.now();
                    with_granter(&ordering, service, term, |granter, out| {
                        granter.handle_order_result(now, id, &result, out);
                    });
                });
            }
            GranterAction::Publish => {
                let granting = &mut *shell.granting.borrow_mut();
                if let Some(granted) = granting.services.get_mut(&service) {
                    granted.unpublished = true;
                }
            }
        }
    }
}

/// Lets a service's granter decide, if this process still is the granter of the term.
fn with_granter<F>(shell: &Rc<Shell>, service: ServiceName, term: Term, decide: F)
where
    F: FnOnce(&mut Granter, &mut Vec<GranterAction>),
{
    let mut actions = Vec::new();
    {
        let granting = &mut *shell.granting.borrow_mut();
        if granting.term() != Some(term) {
            return;
        }
        let granted = granting.services.get_mut(&service);
        let Some(granter) = granted.and_then(|granted| granted.granter.as_mut()) else {
            return;
        };
        decide(granter, &mut actions);
    }
    act(shell, service, term, actions);
}

async fn save(shell: Rc<Shell>, service: ServiceName, term: Term, table: RangeTable) {
    let Some(key) = object_key::ranges(service) else {
        return;
    };
    let revision = {
        let granting = shell.granting.borrow();
        granting.services.get(&service).and_then(|granted| granted.revision)
    };
    let precondition = revision.map_or(Precondition::Absent, Precondition::Revision);
    // A table always makes JSON.
    let body = serde_json::to_string(&table).unwrap_or_default();
    let result = shell.store.call(&StoreRequest::Put { key, body, precondition }).await;
    let change = table.change;
    let saved = match result {
        Ok(StoreReply::Written(revision)) => Saved::At(revision),
        Ok(StoreReply::Conflict(Some(object))) => {
            let stored = serde_json::from_str::<RangeTable>(&object.body).ok();
            match stored.map(|stored| stored.version()) {
                // A write took effect although its answer was lost.
                Some(version) if version == table.version() => Saved::At(object.revision),
                Some((stored, _)) if stored == term => Saved::Earlier(object.revision),
                _ => Saved::Overtaken,
            }
        }
        Ok(StoreReply::Conflict(None)) => Saved::Overtaken,
        _ => Saved::Unknown,
    };
    log::info!(service:% = service, change = change, saved:? = saved,
        ranges = table.holdings.len(); "range table");
    let now = BootClock.now();
    {
        let granting = &mut *shell.granting.borrow_mut();
        if granting.term() == Some(term)
            && let Some(granted) = granting.services.get_mut(&service)
        {
            match saved {
                Saved::At(revision) | Saved::Earlier(revision) => granted.revision = Some(revision),
                // An earlier granter wrote after the table was read.
                Saved::Overtaken => granted.granter = None,
                Saved::Unknown => {}
            }
        }
    }
    with_granter(&shell, service, term, |granter, out| match saved {
        Saved::At(_) => granter.record_save(now, change, out),
        Saved::Earlier(_) | Saved::Overtaken | Saved::Unknown => granter.record_save_failure(),
    });
}

/// What became of a write of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Saved {
    /// It is in the store.
    At(Revision),
    /// An earlier table of this term is in the store, whose answer was lost.
    Earlier(Revision),
    /// The table of another term is in the store.
    Overtaken,
    /// It may be in the store.
    Unknown,
}

/// Tells the routers who serves which keys, if that has changed.
pub(super) fn publish(shell: &Rc<Shell>, service: ServiceName) {
    let owners = {
        let granting = &mut *shell.granting.borrow_mut();
        let (Some(term), Some(granted)) = (granting.term(), granting.services.get_mut(&service))
        else {
            return;
        };
        let Some(granter) = granted.granter.as_ref().filter(|_| granted.unpublished) else {
            return;
        };
        granted.unpublished = false;
        granted.published += 1;
        OwnerMap { term, sequence: granted.published, ranges: granter.served_ranges() }
    };
    let router = &mut *shell.router.borrow_mut();
    let changes = router.owners(service).map(|before| owners.changes_since(before));
    router.replace_owners(service, owners);
    // Routers that miss changes ask for the whole map, which comes in parts.
    if let Some(changes) = changes.filter(|changes| changes.len() <= MAX_CHANGES) {
        shell.peers.send(&others(shell), &PeerMessage::OwnerChanges(service, changes));
    }
}
