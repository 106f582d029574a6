use bay_router::{RequestState, SelectedServer};

use super::attempt::ServerAnswer;
use super::shell_state::ShellState;

/// Status of an answer by a server that the request was not meant for, or that does not hold its key.
const MISDIRECTED: u16 = 421;

/// Status of an answer by a server that takes no requests.
const UNAVAILABLE: u16 = 503;

/// Logs and counts what a server says of itself in an answer.
pub(crate) fn log_notices(
    shell: &ShellState,
    request: &RequestState,
    selected: &SelectedServer,
    answer: &ServerAnswer,
) {
    let SelectedServer { server, started, address, .. } = *selected;
    let fields = &answer.fields;
    if fields.leaving {
        shell.counters.add("answer.leaving", 1);
        log::info!(server:% = server, started = started, status = answer.status;
            "server says that it leaves");
    }
    if answer.status == MISDIRECTED {
        shell.counters.add("answer.misdirected", 1);
        log::info!(server:% = server, started = started, address:% = address,
            service:% = request.service, key:? = request.key, attempt = request.attempts;
            "request was misdirected");
    }
    if let Some(pause) = fields.retry_after.filter(|_| answer.status == UNAVAILABLE) {
        shell.counters.add("answer.pause", 1);
        log::info!(server:% = server, started = started, pause_ms = pause.as_millis() as u64;
            "server asks for a pause");
    }
}
