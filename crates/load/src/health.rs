/// What this gate has seen of a target's speed.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Health {
    late: u32,
}

impl Health {
    /// Late attempts in a row that show a slow target.
    const LATE_IN_A_ROW: u32 = 3;

    /// Notes an attempt that was still unanswered when others are answered; says whether the
    /// target shows itself as slow by now.
    pub(crate) fn record_late(&mut self) -> bool {
        self.late += 1;
        self.late >= Health::LATE_IN_A_ROW
    }

    /// Notes an answer in good time.
    pub(crate) fn reset(&mut self) {
        self.late = 0;
    }
}
