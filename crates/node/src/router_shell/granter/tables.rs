use std::rc::Rc;
use std::time::Duration;

use bay_range::{Granter, GranterAction, HoldTimes, RangeTable};
use bay_router::{OwnerMap, PeerMessage, object_key};
use bay_store::{Expect, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::{Revision, ServiceName, Term};

use super::{ShellState, orders, other_routers};

/// Most changed ranges in one datagram: 27 bytes each where all have an owner.
const MAX_CHANGES: usize = 1_500;

/// Reads a service's table at the start of a term.
pub(super) async fn load_table(shell: Rc<ShellState>, service: ServiceName, term: Term) {
    let Some(key) = object_key::ranges(service) else {
        return;
    };
    let result = shell.store.call(&StoreRequest::Get { key }).await;
    let now = BootClock.now();
    let times = HoldTimes::bounded_by(shell.settings.bounds.longest_hold);
    let role = &mut *shell.granter_role.borrow_mut();
    if role.term() != Some(term) {
        return;
    }
    let Some(keyed) = role.services.get_mut(&service) else {
        return;
    };
    keyed.is_loading = false;
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
        role.leadership.handle_heartbeat(now, table.term, 0, Duration::ZERO);
        role.services.clear();
        return;
    }
    log::info!(
        service:% = service,
        term = term.0,
        ranges = table.holdings.len();
        "range table taken over"
    );
    keyed.revision = revision;
    let mut granter = Granter::take_over(now, term, times, table);
    match role.leadership.has_earlier_granters() {
        false if role.leadership.has_settled_predecessor() => {
            granter.record_predecessor_settled(now)
        }
        false => granter.record_predecessors_ended(now),
        true => {}
    }
    keyed.granter = Some(granter);
}

pub(super) fn run_actions(
    shell: &Rc<ShellState>,
    service: ServiceName,
    term: Term,
    actions: Vec<GranterAction>,
) {
    for action in actions {
        match action {
            GranterAction::Save(table) => {
                shell.spawn(save_table(Rc::clone(shell), service, term, table));
            }
            GranterAction::Order { id, to, address, order } => {
                let order_shell = Rc::clone(shell);
                shell.spawn(async move {
                    let result = orders::send_order(&order_shell, to.server, address, &order).await;
                    log::debug!(server:% = to.server, order:? = order, result:? = result; "order");
                    let now = BootClock.now();
                    update_granter(&order_shell, service, term, |granter, out| {
                        granter.handle_order_result(now, id, &result, out);
                    });
                });
            }
            GranterAction::Publish => {
                let role = &mut *shell.granter_role.borrow_mut();
                if let Some(keyed) = role.services.get_mut(&service) {
                    keyed.owners_changed = true;
                }
            }
        }
    }
}

/// Lets a service's granter decide, if this process still is the granter of the term.
fn update_granter<F>(shell: &Rc<ShellState>, service: ServiceName, term: Term, decide: F)
where
    F: FnOnce(&mut Granter, &mut Vec<GranterAction>),
{
    let mut actions = Vec::new();
    {
        let role = &mut *shell.granter_role.borrow_mut();
        if role.term() != Some(term) {
            return;
        }
        let keyed = role.services.get_mut(&service);
        let Some(granter) = keyed.and_then(|keyed| keyed.granter.as_mut()) else {
            return;
        };
        decide(granter, &mut actions);
    }
    run_actions(shell, service, term, actions);
}

async fn save_table(shell: Rc<ShellState>, service: ServiceName, term: Term, table: RangeTable) {
    let Some(key) = object_key::ranges(service) else {
        return;
    };
    let revision = {
        let role = shell.granter_role.borrow();
        role.services.get(&service).and_then(|keyed| keyed.revision)
    };
    let expect = revision.map_or(Expect::Absent, Expect::Revision);
    // A table always makes JSON.
    let body = serde_json::to_string(&table).unwrap_or_default();
    let result = shell.store.call(&StoreRequest::Put { key, body, expect }).await;
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
        let role = &mut *shell.granter_role.borrow_mut();
        if role.term() == Some(term)
            && let Some(keyed) = role.services.get_mut(&service)
        {
            match saved {
                Saved::At(revision) | Saved::Earlier(revision) => keyed.revision = Some(revision),
                // An earlier granter wrote after the table was read.
                Saved::Overtaken => keyed.granter = None,
                Saved::Unknown => {}
            }
        }
    }
    update_granter(&shell, service, term, |granter, out| match saved {
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
pub(super) fn publish_owners(shell: &Rc<ShellState>, service: ServiceName) {
    let owners = {
        let role = &mut *shell.granter_role.borrow_mut();
        let (Some(term), Some(keyed)) = (role.term(), role.services.get_mut(&service)) else {
            return;
        };
        let Some(granter) = keyed.granter.as_ref().filter(|_| keyed.owners_changed) else {
            return;
        };
        keyed.owners_changed = false;
        keyed.owner_sequence += 1;
        OwnerMap { term, sequence: keyed.owner_sequence, ranges: granter.served_ranges() }
    };
    let router = &mut *shell.router.borrow_mut();
    let changes = router.owners(service).map(|before| owners.changes_since(before));
    router.replace_owners(service, owners);
    // Routers that miss changes ask for the whole map, which comes in parts.
    if let Some(changes) = changes.filter(|changes| changes.len() <= MAX_CHANGES) {
        shell.peer_socket.send(&other_routers(shell), &PeerMessage::OwnerChanges(service, changes));
    }
}
