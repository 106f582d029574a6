use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::LoanId;

use crate::TargetLimits;
use crate::bearing::Bearing;

/// Time that a loan runs unless it is renewed.
pub const LOAN_TERM: Duration = Duration::from_millis(1_500);

/// What a borrower subtracts from the term, as clocks may drift apart.
pub(crate) const DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// Time after which all gates have seen a change of the gates that are up.
const VIEW_SPREAD: Duration = Duration::from_secs(1);

/// Time for which gates' reports of a slow target are kept.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// Time for which a target that gates report as slow gets one request at a time.
const SLOW_HOLD: Duration = Duration::from_secs(1);

/// Reports of slow answers, from different gates, that a home acts on.
const SLOW_REPORTS: usize = 2;

/// A home's account of one target's slots.
#[derive(Debug)]
pub(crate) struct Lender {
    pub(crate) bearing: Bearing,
    pub(crate) lent: Vec<Lent>,
    earlier_loans_until: Time,
    adopted: u32,
    reports: Vec<Report>,
    slow_until: Time,
}

/// A slot lent to a gate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lent {
    pub(crate) id: LoanId,
    pub(crate) to: NodeId,
    pub(crate) until: Time,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    from: NodeId,
    at: Time,
}

impl Lender {
    /// The account of a target that had no other home.
    pub(crate) fn first(limits: TargetLimits, now: Time) -> Lender {
        Lender {
            bearing: Bearing::cold(limits, now),
            lent: Vec::new(),
            earlier_loans_until: now,
            adopted: 0,
            reports: Vec::new(),
            slow_until: Time::ZERO,
        }
    }

    /// The account of a target that may have had another home; until the loans of that home have
    /// run out, only slots whose loans were taken over are used.
    pub(crate) fn successor(limits: TargetLimits, now: Time) -> Lender {
        let mut lender = Lender::first(limits, now);
        lender.earlier_loans_until = now + LOAN_TERM + VIEW_SPREAD;
        lender
    }

    /// Slots that may be used now, of which this many are in use by the home itself.
    pub(crate) fn free(&self, now: Time, own: u32) -> u32 {
        let used = self.lent.len() as u32 + own;
        self.allowed(now).saturating_sub(used)
    }

    fn allowed(&self, now: Time) -> u32 {
        let mut allowed = self.bearing.slots(now);
        if now < self.slow_until {
            allowed = allowed.min(1);
        }
        if now < self.earlier_loans_until {
            allowed = allowed.min(self.adopted);
        }
        allowed
    }

    /// Takes over a slot that an earlier home had given to someone.
    pub(crate) fn adopt_own(&mut self, now: Time, bearing: u32) {
        self.adopted += 1;
        self.bearing.vouch(now, bearing);
    }

    /// Renews a loan, or takes it over from an earlier home; says whether the borrower may go on
    /// using it.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        from: NodeId,
        loan: bay_wire::Loan,
        own: u32,
    ) -> bool {
        let until = now + LOAN_TERM;
        if let Some(lent) = self.lent.iter_mut().find(|l| l.id == loan.id && l.to == from) {
            lent.until = until;
            return true;
        }
        let taking_over = now < self.earlier_loans_until;
        if taking_over {
            self.bearing.vouch(now, loan.bearing);
        }
        let used = self.lent.len() as u32 + own;
        if used >= self.bearing.slots(now) {
            return false;
        }
        self.adopted += u32::from(taking_over);
        self.lent.push(Lent { id: loan.id, to: from, until });
        true
    }

    /// Takes a loan back.
    pub(crate) fn give_back(&mut self, from: NodeId, id: LoanId) {
        self.lent.retain(|lent| lent.id != id || lent.to != from);
    }

    /// Whether time alone changes what may be lent.
    pub(crate) fn changes(&self, now: Time) -> bool {
        let limits_end = self.slow_until.max(self.earlier_loans_until);
        !self.lent.is_empty() || self.bearing.rises(now) || now < limits_end
    }

    /// Ends the loans that have run out.
    pub(crate) fn expire(&mut self, now: Time) {
        self.lent.retain(|lent| lent.until > now);
    }

    /// Notes a gate's report of a slow answer; says whether the home now acts on the reports.
    pub(crate) fn report_slow(&mut self, now: Time, from: NodeId) -> bool {
        self.reports.retain(|report| now.since(report.at) < REPORT_AGE && report.from != from);
        self.reports.push(Report { from, at: now });
        if self.reports.len() < SLOW_REPORTS {
            return false;
        }
        self.reports.clear();
        self.slow_until = now + SLOW_HOLD;
        true
    }
}
