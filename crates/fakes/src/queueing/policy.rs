/// A policy for sharing the targets of a service among gates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Random target.
    Random,
    /// Next target in turn; each gate keeps its own turn.
    RoundRobin,
    /// Target with the fewest requests in flight from the same gate.
    LeastInFlight,
    /// Out of two random targets, the one with fewer requests in flight from the same gate
    /// (Mitzenmacher 2001).
    TwoChoices,
    /// Fixed equal share of each target's slots for each gate, at least one slot.
    StaticShare,
    /// All slots of a target held by one gate, to which the others forward.
    Forward,
    /// Slots lent to gates on demand, by [`bay_load::Pool`].
    Lending,
    /// One central queue with instant knowledge of all targets: a bound that no policy reaches.
    Central,
}

impl Policy {
    /// All policies in the order of the tables.
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

    /// Returns the name in tables.
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
