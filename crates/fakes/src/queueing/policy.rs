/// A way to share a service's targets among gates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Any target, at random.
    Random,
    /// Each gate takes the targets in turn.
    RoundRobin,
    /// The target with the fewest of the gate's own requests in flight.
    LeastInFlight,
    /// The better of two targets drawn at random, by the gate's own requests in flight
    /// (Mitzenmacher 2001).
    TwoChoices,
    /// Each gate alone keeps an even share of a target's slots, at least one.
    StaticShare,
    /// One gate holds all slots of a target, and the others forward to it.
    Forward,
    /// Slots lent to gates by demand: [`bay_load::Pool`].
    Lending,
    /// One central queue that knows all at once: a bound that no policy reaches.
    Central,
}

impl Policy {
    /// Every policy, in the order of the tables.
    pub const ALL: [Policy; 8] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::TwoChoices,
        Policy::StaticShare,
        Policy::Forward,
        Policy::Lending,
        Policy::Central,
    ];

    /// The name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastInFlight => "least in flight",
            Policy::TwoChoices => "two choices",
            Policy::StaticShare => "(a) alone",
            Policy::Forward => "(b) forward",
            Policy::Lending => "(c) lending",
            Policy::Central => "clairvoyant",
        }
    }
}
