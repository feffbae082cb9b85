//! The platform as a fleet's daemons call it: it takes calls under leases, and checks how they were made.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Ms,
    platform_call::{CallOutcome, LeasedCall, PlatformCall, UsageReport},
};

/// The longest that a call may take, as the runtime limits it.
pub const CALL_LIMIT: Ms = 1_000;

/// What the platform makes of a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It acts and answers.
    Working,
    /// It does not act and says nothing.
    Down,
    /// It acts, and its answer is lost.
    AnswersLost,
    /// It takes no more calls for now.
    RateLimiting,
}

/// A call as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Ms,
    /// The daemon that sent it.
    pub holder: usize,
    pub epoch: u64,
    pub call: PlatformCall,
    /// What the platform made of it; none where it did not take notice.
    pub outcome: Option<CallOutcome>,
}

impl Arrival {
    fn acted(&self) -> bool {
        self.outcome == Some(CallOutcome::Accepted)
    }

    fn report(&self) -> Option<&UsageReport> {
        match &self.call {
            PlatformCall::ReportUsage(report) => Some(report),
            PlatformCall::SetReplicaCount(_) => None,
        }
    }
}

/// What fences are compared for: all usage reports, or a service in a zone.
fn subject(call: &PlatformCall) -> String {
    match call {
        PlatformCall::ReportUsage(_) => "usage".into(),
        PlatformCall::SetReplicaCount(replicas) => {
            format!("{} in {}", replicas.service, replicas.zone)
        }
    }
}

pub struct Platform {
    pub condition: Condition,
    /// Whether it refuses fencing tokens that are lower than one it has seen.
    pub checks_fences: bool,
    /// One way, between a daemon and the platform.
    pub latency: Ms,
    /// Between a daemon's decision and the sending of a call: it waits for its turn.
    pub pacing: Ms,
    /// Daemons that do not reach it.
    pub unreachable_from: BTreeSet<usize>,
    /// Highest fencing token by subject.
    pub highest_fences: BTreeMap<String, u64>,
    /// Calls that were decided and have not been sent, or dropped.
    pub waiting: usize,
    /// Calls that are on their way to the platform.
    pub on_their_way: usize,
    /// Calls that were dropped at the moment of sending, as their lease had ended.
    pub dropped: usize,
    pub arrivals: Vec<Arrival>,
}

impl Default for Platform {
    fn default() -> Self {
        Platform {
            condition: Condition::Working,
            checks_fences: true,
            latency: 5,
            pacing: 0,
            unreachable_from: BTreeSet::new(),
            highest_fences: BTreeMap::new(),
            waiting: 0,
            on_their_way: 0,
            dropped: 0,
            arrivals: vec![],
        }
    }
}

impl Platform {
    /// Takes a call; returns the outcome that its sender hears of, if it does.
    pub fn take(&mut self, holder: usize, leased: LeasedCall, now: Ms) -> Option<CallOutcome> {
        let subject = subject(&leased.call);
        let highest = self.highest_fences.entry(subject).or_default();
        let outcome = match self.condition {
            Condition::Down => None,
            Condition::RateLimiting => Some(CallOutcome::RateLimited),
            _ if self.checks_fences && leased.epoch < *highest => Some(CallOutcome::Superseded),
            _ => Some(CallOutcome::Accepted),
        };
        if outcome == Some(CallOutcome::Accepted) {
            *highest = leased.epoch.max(*highest);
        }
        self.arrivals.push(Arrival {
            at: now,
            holder,
            epoch: leased.epoch,
            call: leased.call,
            outcome,
        });
        outcome.filter(|_| self.condition != Condition::AnswersLost)
    }

    fn acted(&self) -> impl Iterator<Item = &Arrival> {
        self.arrivals.iter().filter(|arrival| arrival.acted())
    }

    /// Reports that the platform acted on, in their order, each with when.
    pub fn accepted_reports(&self) -> Vec<(Ms, &UsageReport)> {
        self.acted()
            .filter_map(|arrival| Some((arrival.at, arrival.report()?)))
            .collect()
    }

    /// The report of each window.
    pub fn reports_by_window(&self) -> BTreeMap<u64, &UsageReport> {
        let reports = self.accepted_reports().into_iter();
        reports.map(|(_, report)| (report.window, report)).collect()
    }

    /// Windows for which reports arrived that differ.
    pub fn windows_with_conflicting_reports(&self) -> BTreeSet<u64> {
        let mut first: BTreeMap<u64, &UsageReport> = BTreeMap::new();
        let mut conflicting = BTreeSet::new();
        for report in self.arrivals.iter().filter_map(Arrival::report) {
            if *first.entry(report.window).or_insert(report) != report {
                conflicting.insert(report.window);
            }
        }
        conflicting
    }

    /// Fencing tokens that several daemons sent for the same subject.
    pub fn shared_fences(&self) -> BTreeSet<u64> {
        let mut holders: BTreeMap<(String, u64), usize> = BTreeMap::new();
        let is_shared = |arrival: &&Arrival| {
            let token = (subject(&arrival.call), arrival.epoch);
            *holders.entry(token).or_insert(arrival.holder) != arrival.holder
        };
        let shared = self.arrivals.iter().filter(is_shared);
        shared.map(|arrival| arrival.epoch).collect()
    }

    /// Times of calls that arrived under a token below one that had arrived before for the subject.
    pub fn falling_fences(&self) -> Vec<Ms> {
        let mut highest: BTreeMap<String, u64> = BTreeMap::new();
        let falls = |arrival: &&Arrival| {
            let seen = highest.entry(subject(&arrival.call)).or_default();
            let falls = arrival.epoch < *seen;
            *seen = arrival.epoch.max(*seen);
            falls
        };
        let falling = self.arrivals.iter().filter(falls);
        falling.map(|arrival| arrival.at).collect()
    }

    /// Times at which a holder acted again, within `window` of its last act, with another holder's act in between.
    pub fn alternations(&self, window: Ms) -> Vec<Ms> {
        let acted: Vec<&Arrival> = self.acted().collect();
        let mut alternations = vec![];
        for (index, last) in acted.iter().enumerate() {
            let is_recent = |earlier: &&&Arrival| last.at - earlier.at < window;
            let mut recent = acted[..index].iter().rev().take_while(is_recent);
            let other = recent.find(|earlier| earlier.holder != last.holder);
            if other.is_some() && recent.any(|earlier| earlier.holder == last.holder) {
                alternations.push(last.at);
            }
        }
        alternations
    }

    /// Everything that must never be seen here; empty where all is well.
    pub fn violations(&self, lease: Ms) -> Vec<String> {
        let conflicting = self.windows_with_conflicting_reports().into_iter();
        let shared = self.shared_fences().into_iter();
        let alternations = self.alternations(lease).into_iter();
        conflicting
            .map(|window| format!("different reports of window {window}"))
            .chain(shared.map(|fence| format!("fence {fence} of several holders")))
            .chain(alternations.map(|at| format!("holders alternate at {at}")))
            .collect()
    }
}
