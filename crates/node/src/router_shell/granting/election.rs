use std::rc::Rc;

use bay_range::{LeadershipAction, LeadershipRecord};
use bay_router::own_key;
use bay_store::{Expect, Object, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::{Revision, Term};

use super::Shell;

/// Performs a call of the election.
pub(super) async fn perform(shell: Rc<Shell>, action: LeadershipAction) {
    let Some(key) = own_key::leadership() else {
        return;
    };
    let sent = BootClock.now();
    let (request, record) = match action {
        LeadershipAction::Read => (StoreRequest::Get { key }, None),
        LeadershipAction::Write { record, expect } => {
            let expect = expect.map_or(Expect::Absent, Expect::Revision);
            // A record always makes JSON.
            let body = serde_json::to_string(&record).unwrap_or_default();
            (StoreRequest::Put { key, body, expect }, Some(record))
        }
    };
    let result = shell.store.call(&request).await;
    let now = BootClock.now();
    let before = shell.granting.borrow().term();
    {
        let leadership = &mut shell.granting.borrow_mut().leadership;
        match (result, record) {
            (Ok(StoreReply::Written(revision)), Some(record)) => {
                leadership.on_written(now, sent, record, revision);
            }
            (Ok(StoreReply::Object(found) | StoreReply::Conflict(found)), _) => {
                leadership.on_record(now, found.as_ref().and_then(read_record));
            }
            _ => leadership.on_failure(now),
        }
    }
    on_role_change(&shell, before);
}

fn read_record(object: &Object) -> Option<(Revision, LeadershipRecord)> {
    Some((object.revision, serde_json::from_str(&object.body).ok()?))
}

/// Starts or ends to grant after a change of the standing.
pub(super) fn on_role_change(shell: &Shell, before: Option<Term>) {
    let granting = &mut *shell.granting.borrow_mut();
    let after = granting.term();
    if before == after {
        return;
    }
    granting.services.clear();
    granting.heard.clear();
    shell.fed.borrow_mut().clear();
    shell.told.borrow_mut().clear();
    shell.store.set_granter(after.is_some());
    match after {
        Some(term) => log::info!(
            term = term.0,
            lingering = granting.leadership.has_lingering();
            "granter of a new term"
        ),
        None => log::info!(term = granting.leadership.known_term().0; "no longer granter"),
    }
}

/// Hands the granter's role over before a planned stop.
pub(crate) async fn resign(shell: &Rc<Shell>) {
    let now = BootClock.now();
    let action = shell.granting.borrow_mut().leadership.resign(now);
    if let Some(action) = action {
        shell.granting.borrow_mut().services.clear();
        log::info!("granter resigns");
        perform(Rc::clone(shell), action).await;
    }
}
