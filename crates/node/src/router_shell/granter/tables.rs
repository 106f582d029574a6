use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bay_range::{GrantOrder, Granter, GranterAction, HoldTimes, OrderId, OwnerId, RangeTable};
use bay_router::{OwnerMap, PeerMessage, object_key};
use bay_store::{Precondition, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::{Revision, ServiceName, Term};

use super::{ShellState, fan_out, orders};

/// Maximum number of changed ranges in one datagram, at 27 bytes for each range with an owner.
const MAX_CHANGES: usize = 1_500;

/// Interval between reads of a table that may not name all holds.
const LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Reads a service's range table from the store and starts its granter for the term.
///
/// After a failure the next step of the granter tries again. A table of a later term shows that
/// another router is the granter.
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
    keyed.has_answer |= matches!(result, Ok(StoreReply::Object(_)));
    let (table, revision): (Option<RangeTable>, Option<Revision>) = match result {
        Ok(StoreReply::Object(None)) => (None, None),
        Ok(StoreReply::Object(Some(object))) => match serde_json::from_str(&object.body) {
            Ok(table) => (Some(table), Some(object.revision)),
            Err(error) => {
                log::error!(service:% = service, error:% = error;
                    "invalid range table in the store");
                return;
            }
        },
        _ => return,
    };
    if let Some(later) = table.as_ref().map(|table| table.term).filter(|later| *later > term) {
        log::warn!(service:% = service, term = later.0; "range table has a later term");
        role.leadership.handle_heartbeat(now, later, 0, Duration::ZERO);
        role.services.clear();
        return;
    }
    let era = shell.store.told_era();
    let ranges = table.as_ref().map_or(0, |table| table.holdings.len());
    let Some(proven) = role.leadership.prove_table(now, era, table, &times) else {
        if keyed.next_load_at.replace(now + LOAD_RETRY_INTERVAL).is_none() {
            log::warn!(service:% = service, term = term.0, era:? = era, ranges = ranges;
                "range table may not name all holds; waiting until they have expired");
        }
        return;
    };
    log::info!(
        service:% = service,
        term = term.0,
        era:? = era,
        ranges = ranges,
        proof:? = proven.proof();
        "range table loaded"
    );
    keyed.revision = revision;
    keyed.next_load_at = None;
    let mut granter = Granter::take_over(now, term, times, proven);
    match role.leadership.earlier_granters_ended_at(now) {
        Some(_) if role.leadership.has_settled_predecessor() => {
            granter.record_predecessor_settled(now)
        }
        Some(ended_at) => granter.record_earlier_granters_ended(ended_at),
        None => {}
    }
    let ended = role.ended_holds.as_ref().filter(|ended| {
        !role.leadership.has_earlier_granters()
            && role.leadership.predecessor_term() == Some(ended.term)
    });
    let ended = ended.and_then(|ended| {
        let (_, ranges) = ended.services.iter().find(|(name, _)| *name == service)?;
        Some((ended.term, ranges))
    });
    if let Some((by, ranges)) = ended {
        log::info!(service:% = service, ranges = ranges.len(); "keys without a holder");
        granter.record_ended_holds(now, by, ranges);
    }
    keyed.granter = Some(granter);
}

/// Starts the actions of a service's granter: table writes, orders to servers, publications.
///
/// Grants to one server are sent one after the other, so that they share a connection. A release waits
/// for its server's work, so that it goes alone.
pub(super) fn run_actions(
    shell: &Rc<ShellState>,
    service: ServiceName,
    term: Term,
    actions: Vec<GranterAction>,
) {
    let mut grants: BTreeMap<SocketAddr, Vec<PreparedOrder>> = BTreeMap::new();
    for action in actions {
        match action {
            GranterAction::Save(table) => {
                shell.spawn(save_table(Rc::clone(shell), service, term, table));
            }
            GranterAction::Order { id, to, address, order } => {
                let prepared = PreparedOrder { id, to, order };
                match prepared.order {
                    GrantOrder::Grant { .. } => grants.entry(address).or_default().push(prepared),
                    GrantOrder::Release { .. } => {
                        send_orders(shell, service, term, address, vec![prepared]);
                    }
                }
            }
            GranterAction::Publish => {
                let role = &mut *shell.granter_role.borrow_mut();
                if let Some(keyed) = role.services.get_mut(&service) {
                    keyed.owners_changed = true;
                }
            }
        }
    }
    for (address, orders) in grants {
        send_orders(shell, service, term, address, orders);
    }
}

/// An order that waits to be sent.
struct PreparedOrder {
    id: OrderId,
    to: OwnerId,
    order: GrantOrder,
}

/// Sends orders to a server one after the other, and reports their results to the granter. Those that
/// would be sent too late are not sent: the granter counts holds from its decision.
fn send_orders(
    shell: &Rc<ShellState>,
    service: ServiceName,
    term: Term,
    address: SocketAddr,
    orders: Vec<PreparedOrder>,
) {
    let decided_at = BootClock.now();
    let order_shell = Rc::clone(shell);
    shell.spawn(async move {
        for PreparedOrder { id, to, order } in orders {
            let result = orders::send_order(&order_shell, to, address, &order, decided_at).await;
            log::debug!(server:% = to.server, order:? = order, result:? = result;
                "order finished");
            let now = BootClock.now();
            update_granter(&order_shell, service, term, |granter, out| {
                granter.handle_order_result(now, id, &result, out);
            });
        }
    });
}

/// Updates a service's granter and runs the resulting actions. Does nothing if this process is no
/// longer the granter of `term`.
fn update_granter<F>(shell: &Rc<ShellState>, service: ServiceName, term: Term, update: F)
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
        update(granter, &mut actions);
    }
    run_actions(shell, service, term, actions);
}

/// Writes a service's range table with a compare-and-set on its last known revision, and reports
/// the result to the granter.
async fn save_table(
    shell: Rc<ShellState>,
    service: ServiceName,
    term: Term,
    mut table: RangeTable,
) {
    let Some(key) = object_key::ranges(service) else {
        return;
    };
    let (revision, has_saved) = {
        let role = shell.granter_role.borrow();
        let keyed = role.services.get(&service);
        keyed.map_or((None, false), |keyed| (keyed.revision, keyed.has_saved))
    };
    table.store_era = shell.store.told_era();
    let precondition = revision.map_or(Precondition::Absent, Precondition::Revision);
    // Serialization of a table cannot fail.
    let body = serde_json::to_string(&table).unwrap_or_default();
    let result = shell.store.call(&StoreRequest::Put { key, body, precondition }).await;
    let change = table.change;
    let saved = match result {
        Ok(StoreReply::Written(revision)) => Saved::At(revision),
        Ok(StoreReply::Conflict(Some(object))) => {
            let stored = serde_json::from_str::<RangeTable>(&object.body).ok();
            match stored.map(|stored| stored.version()) {
                // This table was written before, but the reply was lost.
                Some(version) if version == table.version() => Saved::At(object.revision),
                Some((stored, _)) if stored == term => Saved::Earlier(object.revision),
                // The store was restored from a copy that is older than this granter's first table.
                Some((stored, _)) if stored < term && has_saved => Saved::Earlier(object.revision),
                _ => Saved::Overtaken,
            }
        }
        Ok(StoreReply::Conflict(None)) if has_saved => Saved::Gone,
        Ok(StoreReply::Conflict(None)) => Saved::Overtaken,
        _ => Saved::Unknown,
    };
    log::info!(service:% = service, change = change, saved:? = saved,
        ranges = table.holdings.len(); "range table write finished");
    let now = BootClock.now();
    {
        let role = &mut *shell.granter_role.borrow_mut();
        if role.term() == Some(term)
            && let Some(keyed) = role.services.get_mut(&service)
        {
            match saved {
                Saved::At(revision) => {
                    keyed.revision = Some(revision);
                    keyed.has_saved = true;
                }
                Saved::Earlier(revision) => keyed.revision = Some(revision),
                Saved::Gone => keyed.revision = None,
                // An earlier granter wrote after this one had read the table. The next step reads
                // it again.
                Saved::Overtaken => keyed.granter = None,
                Saved::Unknown => {}
            }
        }
    }
    update_granter(&shell, service, term, |granter, out| match saved {
        Saved::At(_) => granter.record_save(now, change, out),
        Saved::Earlier(_) | Saved::Gone | Saved::Overtaken | Saved::Unknown => {
            granter.record_save_failure();
        }
    });
}

/// Result of a table write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Saved {
    /// The table is in the store.
    At(Revision),
    /// The store has another table of this term, from a write whose reply was lost, or one from before
    /// its restoration.
    Earlier(Revision),
    /// The store has lost the table.
    Gone,
    /// The store has no table or one of another term.
    Overtaken,
    /// The write may have taken effect.
    Unknown,
}

/// Publishes the owners of a service's ranges to this and the other routers, if they have changed.
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
    let changes = router.owners(service).map(|previous| owners.changes_since(previous));
    router.replace_owners(service, owners);
    // Routers that miss changes request the whole map, which is sent in parts.
    if let Some(changes) = changes.filter(|changes| changes.len() <= MAX_CHANGES) {
        fan_out(shell, &PeerMessage::OwnerChanges(service, changes));
    }
}
