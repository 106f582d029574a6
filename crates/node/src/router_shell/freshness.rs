use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{PeerMessage, Vouch};
use bay_time::{BootClock, Clock, Time};

use super::granter;
use super::shell_state::ShellState;

/// Interval between requests to vouch for the configuration.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a request without an answer is sent once more. Datagrams may be lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between checks of whether a request is due.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two log lines about an old proof.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Requests of this router to another one to vouch for the configuration.
#[derive(Debug, Default)]
pub(crate) struct VouchRequests {
    is_running: Cell<bool>,
    next_request_at: Cell<Time>,
    /// Requests since the last answer that was a proof.
    unanswered: Cell<u32>,
    next_log_at: Cell<Time>,
}

/// Starts to renew the proof of the configuration's age, if the platform bounds the withdrawal of API
/// keys and the task does not run yet.
pub(crate) fn start(shell: &Rc<ShellState>) {
    let is_bounded = shell.router.borrow().key_proof_limit().is_some();
    if is_bounded && !shell.vouch_requests.is_running.replace(true) {
        shell.spawn(run(Rc::clone(shell)));
    }
}

/// Renews the proof until the settings no longer bound the withdrawal of API keys.
async fn run(shell: Rc<ShellState>) {
    loop {
        let limit = shell.router.borrow().key_proof_limit();
        let Some(limit) = limit else {
            break;
        };
        let now = BootClock.now();
        request_if_due(&shell, now);
        log_old_proof(&shell, now, limit);
        Timer::after(STEP_INTERVAL).await;
    }
    shell.vouch_requests.is_running.set(false);
}

/// Asks the router that passed on the last heartbeat. The granter reads the store itself.
fn request_if_due(shell: &ShellState, now: Time) {
    let requests = &shell.vouch_requests;
    if now < requests.next_request_at.get() || granter::granter_term(shell).is_some() {
        return;
    }
    let Some(to) = granter::heartbeat_sender(shell) else {
        return;
    };
    let stamp = shell.router.borrow_mut().request_vouch(now);
    shell.peer_socket.send(&[to], &PeerMessage::RequestVouch(stamp));
    // Only the first repetition is early: an older router never answers.
    let unanswered = requests.unanswered.get();
    let interval = if unanswered == 0 { ANSWER_TIMEOUT } else { REQUEST_INTERVAL };
    requests.unanswered.set(unanswered.saturating_add(1));
    requests.next_request_at.set(now + interval);
}

/// Answers another router's request, unless this router has no proof itself.
pub(crate) fn handle_request(shell: &ShellState, now: Time, from: SocketAddr, stamp: u64) {
    let vouch = shell.router.borrow().vouch(now, stamp);
    if let Some(vouch) = vouch {
        shell.peer_socket.send(&[from], &PeerMessage::Vouch(vouch));
    }
}

/// Records the answer of another router.
pub(crate) fn handle_vouch(shell: &ShellState, vouch: &Vouch) {
    if shell.router.borrow_mut().record_vouch(vouch) {
        let requests = &shell.vouch_requests;
        requests.unanswered.set(0);
        requests.next_request_at.set(Time::from_nanos(vouch.stamp) + REQUEST_INTERVAL);
    }
}

/// Logs a proof that is older than half of the limit.
fn log_old_proof(shell: &ShellState, now: Time, limit: Duration) {
    let router = shell.router.borrow();
    let age = router.key_proof_age(now);
    let is_old = router.has_accounts() && age.is_none_or(|age| age > limit / 2);
    if !is_old || now < shell.vouch_requests.next_log_at.get() {
        return;
    }
    shell.vouch_requests.next_log_at.set(now + LOG_INTERVAL);
    log::warn!(
        age_ms:? = age.map(|age| age.as_millis()),
        limit_ms = limit.as_millis() as u64,
        unanswered = shell.vouch_requests.unanswered.get(),
        config = router.config().map_or(0, |config| config.version);
        "proof of the keys is old"
    );
}
