use bay_router::{
    AnswerFields, RequestState, SelectedServer, ServerNotice, ServerProcess, ServerStatement,
};
use bay_time::{BootClock, Clock};

use super::attempt::ServerAnswer;
use super::shell_state::ShellState;

/// Status of an answer by a server that the request was not meant for, or that does not hold its key.
const MISDIRECTED: u16 = 421;

/// Status of an answer by a server that takes no requests.
const UNAVAILABLE: u16 = 503;

/// Records what a server says of itself in the answer to a request.
pub(crate) fn record_request_answer(
    shell: &ShellState,
    request: &RequestState,
    selected: &SelectedServer,
    answer: &ServerAnswer,
) {
    let SelectedServer { server, started, address, .. } = *selected;
    let fields = &answer.fields;
    record_answer(shell, &selected.process(), fields);
    if answer.status == MISDIRECTED {
        shell.counters.add("answer.misdirected", 1);
        log::info!(server:% = server, started = started, address:% = address,
            service:% = request.service, key:? = request.key, attempt = request.attempts;
            "request was misdirected");
    }
    let now = BootClock.now();
    let pause = fields.retry_after.filter(|_| answer.status == UNAVAILABLE);
    let mut router = shell.router.borrow_mut();
    let Some(pause) = pause else {
        return router.record_unpaused_answer(now, &selected.process());
    };
    router.record_pause(now, selected.process(), pause);
    drop(router);
    log::info!(server:% = server, started = started, pause_ms = pause.as_millis() as u64;
        "server asks for a pause");
}

/// Records what a server says of itself in any answer.
pub(crate) fn record_answer(shell: &ShellState, process: &ServerProcess, fields: &AnswerFields) {
    if fields.leaving {
        record_statement(shell, process, ServerStatement::Leaving);
    }
}

fn record_statement(shell: &ShellState, process: &ServerProcess, statement: ServerStatement) {
    let now = BootClock.now();
    if shell.router.borrow_mut().record_statement(now, *process, statement) {
        act_on(shell, process, statement, "answer");
    }
}

/// Applies what another router has learned of servers.
pub(crate) fn apply(shell: &ShellState, notices: &[ServerNotice]) {
    for notice in notices {
        if shell.router.borrow_mut().apply_notice(BootClock.now(), notice) {
            act_on(shell, &notice.process, notice.statement, "router");
        }
    }
}

/// Logs a new statement and closes the connections to the server; `source` tells how this router has
/// learned it.
fn act_on(shell: &ShellState, process: &ServerProcess, statement: ServerStatement, source: &str) {
    let ServerProcess { server, started, address } = *process;
    let counter = match statement {
        ServerStatement::Leaving => "server.leaving",
    };
    shell.counters.add(counter, 1);
    log::info!(server:% = server, started = started, address:% = address, statement:? = statement,
        source = source; "server may get no requests");
    shell.pool.invalidate(address);
}
