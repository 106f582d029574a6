/// Why a request was refused under overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The share of its rank was used up.
    Share,
    /// It would have delayed more urgent requests beyond their objective.
    Urgent,
    /// It would have been late, or servers had no room for it.
    Capacity,
}

impl RefusalReason {
    /// Returns the name under which refusals are counted.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Share => "share",
            RefusalReason::Urgent => "urgent",
            RefusalReason::Capacity => "capacity",
        }
    }
}
