use std::rc::Rc;

use bay_router::{ConfigPart, PeerMessage};
use bay_time::{BootClock, Clock};

use super::feeds;
use super::granter::{self, Document};
use super::shell_state::ShellState;

/// Maximum size of the text in one datagram, in bytes.
const PART_BYTES: usize = 40 * 1024;

/// Sends the other routers the configuration in force, if this router is the granter and they may lack
/// it. Otherwise each of them would read it from the store.
///
/// Does nothing until the granter knows the other routers and has loaded its tables; its next heartbeat
/// tries again.
pub(crate) fn publish(shell: &ShellState) {
    let routers = granter::recipient_count(shell);
    if granter::granter_term(shell).is_none() || routers == 0 {
        return;
    }
    let version = shell.config_version();
    let must_send = shell.feed_publisher.borrow_mut().must_send_config(version);
    let now = BootClock.now();
    if !must_send || !granter::may_publish(shell, now) {
        return;
    }
    let text = Rc::clone(&shell.config_text.borrow());
    let parts = split(&text);
    let count = parts.len() as u16;
    log::info!(version = version, parts = count, routers = routers; "configuration sent");
    for (index, part) in (0..).zip(parts) {
        let text = part.to_owned();
        let message = PeerMessage::Config(ConfigPart { version, part: (index, count), text });
        granter::fan_out_document(shell, now, Document::Config, &message);
    }
    shell.feed_publisher.borrow_mut().record_config_sent(version);
}

/// Splits a text into parts of at most [`PART_BYTES`], between characters.
fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > PART_BYTES {
        let (part, after) = rest.split_at(rest.floor_char_boundary(PART_BYTES));
        parts.push(part);
        rest = after;
    }
    parts.push(rest);
    parts
}

/// Adds a part of a configuration and applies the configuration once it is complete.
pub(crate) fn handle_part(shell: &Rc<ShellState>, part: ConfigPart) {
    let is_known =
        shell.router.borrow().config().is_some_and(|known| known.version >= part.version);
    if is_known || granter::granter_term(shell).is_some() {
        return;
    }
    let ConfigPart { version, part: (index, count), text } = part;
    let parts = shell.config_parts.borrow_mut().insert(version, index, count, text);
    if let Some(parts) = parts {
        feeds::apply_config_text(shell, &parts.concat());
    }
}
