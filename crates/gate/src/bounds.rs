use std::time::Duration;

/// Maximum attempts of a request.
pub(crate) const MAX_ATTEMPTS: u32 = 8;
/// Maximum time that a request waits for an owner of its key.
pub(crate) const MAX_OWNER_WAIT: Duration = Duration::from_millis(300);
/// Delay, per attempt so far, before a keyed request is sent again after its owner rejected or
/// failed it.
pub(crate) const OWNER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before a request that may have crashed its target is sent again. The notice of the
/// suspicion reaches the other gates in this time.
pub(crate) const LOST_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between the starts of suspects if there are fewer targets than suspects. A suspect is a
/// request that may have crashed a target.
pub(crate) const SUSPECT_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of [`SUSPECT_INTERVAL`]s that a suspect waits.
pub(crate) const MAX_SUSPECT_DELAYS: u32 = 20;
/// Time after which a suspect looks again if every target runs another suspect.
pub(crate) const SUSPECT_RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Minimum time in a pool's queue before a request asks the pool again by itself.
pub(crate) const MIN_QUEUE_WAIT: Duration = Duration::from_millis(1);
/// Time for which an owner that is leaving or whose zone is out still receives requests, while its
/// keys move to other owners.
pub(crate) const MOVE_GRACE: Duration = Duration::from_secs(3);
/// Time after which an unanswered claim is sent again.
pub(crate) const CLAIM_RESEND_DELAY: Duration = Duration::from_millis(10);
/// Maximum time that a request waits for the replies to its claim.
pub(crate) const MAX_CLAIM_WAIT: Duration = Duration::from_millis(30);
/// Maximum `Retry-After` for a copy of a request in flight.
pub(crate) const MAX_DUPLICATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A hedge that found no free target is retried after the hedge delay divided by this.
pub(crate) const HEDGE_RETRY_FRACTION: u32 = 4;
