use std::time::Duration;

/// Most attempts of a request.
pub(crate) const MAX_ATTEMPTS: u32 = 8;
/// Longest time that a request waits for its key's next owner.
pub(crate) const MAX_OWNER_WAIT: Duration = Duration::from_millis(300);
/// Pause before a key's owner gets a request again that it did not take.
pub(crate) const OWNER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Pause before a request that a target may have crashed on is sent again, in which the other
/// gates learn of it.
pub(crate) const LOST_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between the runs of suspects for which there are too few targets.
pub(crate) const SUSPECT_INTERVAL: Duration = Duration::from_millis(10);
/// Most such times that a suspect waits.
pub(crate) const MAX_SUSPECT_DELAYS: u32 = 20;
/// Time after which a suspect that found every target taken looks again.
pub(crate) const SUSPECT_RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Least time that a request stays in a pool's queue before it asks again by itself.
pub(crate) const MIN_QUEUE_WAIT: Duration = Duration::from_millis(1);
/// Time that owners which leave or whose zone is out still get their keys' requests, while the
/// keys move.
pub(crate) const MOVE_GRACE: Duration = Duration::from_secs(3);
/// Time before a claim that was not answered is sent again.
pub(crate) const CLAIM_RESEND_DELAY: Duration = Duration::from_millis(10);
/// Longest time that a request waits for the answers to its claim.
pub(crate) const MAX_CLAIM_WAIT: Duration = Duration::from_millis(30);
/// Longest time after which the sender of a copy is told to come back.
pub(crate) const MAX_DUPLICATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A hedge that found no free target is tried again after this part of the time to a hedge.
pub(crate) const HEDGE_RETRY_FRACTION: u32 = 4;
