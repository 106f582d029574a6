use bay_range::OrderResult;
use bay_router::{
    AnswerFields, RequestState, SelectedServer, ServerNotice, ServerProcess, ServerStatement,
};
use bay_time::{BootClock, Clock};

use super::attempt::ServerAnswer;
use super::shell_state::ShellState;

/// Status of an answer by a server that the request was not meant for, or that does not hold its key.
pub(crate) const MISDIRECTED: u16 = 421;

/// Status of an answer by a server that takes no requests.
const UNAVAILABLE: u16 = 503;

/// Records what a server says of itself in the answer to a request.
pub(crate) fn record_request_answer(
    shell: &ShellState,
    request: &RequestState,
    selected: &SelectedServer,
    answer: &ServerAnswer,
) {
    let process = selected.process();
    let fields = &answer.fields;
    record_leaving(shell, &process, fields);
    if answer.status == MISDIRECTED {
        return record_misdirected(shell, request, selected);
    }
    let now = BootClock.now();
    let mut router = shell.router.borrow_mut();
    if let Some(load) = fields.load {
        router.record_load(now, selected, load);
    }
    router.record_rate_limit(now, selected, fields.rate_limit);
    match fields.retry_after.filter(|_| answer.status == UNAVAILABLE) {
        Some(pause) => {
            router.record_pause(now, process, pause);
            log::info!(server:% = process.server, started = process.started,
                pause_ms = pause.as_millis() as u64; "server asks for a pause");
        }
        None => router.record_unpaused_answer(now, &process),
    }
}

/// Records that a request was refused as misdirected. The other headers may be those of another server.
fn record_misdirected(shell: &ShellState, request: &RequestState, selected: &SelectedServer) {
    let SelectedServer { server, started, address, .. } = *selected;
    shell.counters.add("answer.misdirected", 1);
    log::info!(server:% = server, started = started, address:% = address,
        service:% = request.service, key:? = request.key, attempt = request.attempts;
        "request was misdirected");
    // An owner also refuses requests for keys that it does not hold.
    if request.key.is_none() {
        record_statement(shell, &selected.process(), ServerStatement::Replaced);
    }
}

/// Records what a server says of itself in the answer to an order.
pub(crate) fn record_order_answer(
    shell: &ShellState,
    process: &ServerProcess,
    result: &OrderResult,
    fields: &AnswerFields,
) {
    record_leaving(shell, process, fields);
    match result {
        OrderResult::OtherServer | OrderResult::NotAnOrder => {
            record_statement(shell, process, ServerStatement::Replaced);
        }
        OrderResult::Granted | OrderResult::Released { .. } | OrderResult::Outdated => {
            shell.router.borrow_mut().record_presence(process);
        }
        _ => {}
    }
}

fn record_leaving(shell: &ShellState, process: &ServerProcess, fields: &AnswerFields) {
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
        ServerStatement::Replaced => "server.replaced",
    };
    shell.counters.add(counter, 1);
    log::info!(server:% = server, started = started, address:% = address, statement:? = statement,
        source = source; "server may get no requests");
    shell.pool.invalidate(address);
}
