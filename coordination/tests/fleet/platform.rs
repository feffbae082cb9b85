//! Stand-in for the platform that a fleet's daemons call: accepts calls made under leases and checks them for
//! violations.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Ms,
    platform_call::{CallOutcome, LeasedCall, PlatformCall, UsageReport},
};

/// Maximum duration of a call, as in the runtime.
pub const CALL_LIMIT: Ms = 1_000;

/// How the platform handles the calls that arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Executes and answers calls.
    Working,
    /// Neither executes nor answers calls.
    Down,
    /// Executes calls, but the answers are lost.
    AnswersLost,
    /// Rejects calls because of a rate limit.
    RateLimiting,
}

/// A call that reached the platform.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Ms,
    /// The daemon that sent it.
    pub holder: usize,
    pub epoch: u64,
    pub call: PlatformCall,
    /// Outcome at the platform; `None` while it was down.
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

/// Returns the scope within which fencing tokens are compared: all usage reports, or a service in a zone.
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
    /// Whether the platform rejects fencing tokens lower than the highest accepted one.
    pub checks_fences: bool,
    /// One-way latency between a daemon and the platform.
    pub latency: Ms,
    /// Delay between a daemon's decision to make a call and the sending, while the call is queued.
    pub pacing: Ms,
    /// Daemons that cannot reach the platform.
    pub unreachable_from: BTreeSet<usize>,
    /// Highest fencing token by subject.
    pub highest_fences: BTreeMap<String, u64>,
    /// Calls that were decided but neither sent nor dropped yet.
    pub waiting: usize,
    /// Calls in flight to the platform.
    pub on_their_way: usize,
    /// Calls that were dropped instead of sent because their lease had expired.
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
    /// Handles a call; returns the outcome that is sent back to the daemon, if any.
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

    /// Returns the reports that the platform accepted, with their times of arrival, in order.
    pub fn accepted_reports(&self) -> Vec<(Ms, &UsageReport)> {
        self.acted()
            .filter_map(|arrival| Some((arrival.at, arrival.report()?)))
            .collect()
    }

    /// Returns the last accepted report of each window.
    pub fn reports_by_window(&self) -> BTreeMap<u64, &UsageReport> {
        let reports = self.accepted_reports().into_iter();
        reports.map(|(_, report)| (report.window, report)).collect()
    }

    /// Returns the windows for which different reports arrived.
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

    /// Returns the fencing tokens that several daemons sent for the same subject.
    pub fn shared_fences(&self) -> BTreeSet<u64> {
        let mut holders: BTreeMap<(String, u64), usize> = BTreeMap::new();
        let is_shared = |arrival: &&Arrival| {
            let token = (subject(&arrival.call), arrival.epoch);
            *holders.entry(token).or_insert(arrival.holder) != arrival.holder
        };
        let shared = self.arrivals.iter().filter(is_shared);
        shared.map(|arrival| arrival.epoch).collect()
    }

    /// Returns the times of calls whose fencing token is lower than an earlier one for the same subject.
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

    /// Returns the times of accepted calls where, within the preceding `window`, the same holder had a call accepted
    /// before another holder did.
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

    /// Returns descriptions of all violations found in the calls.
    pub fn violations(&self, lease: Ms) -> Vec<String> {
        let conflicting = self.windows_with_conflicting_reports().into_iter();
        let shared = self.shared_fences().into_iter();
        let alternations = self.alternations(lease).into_iter();
        conflicting
            .map(|window| format!("different reports of window {window}"))
            .chain(shared.map(|fence| format!("fence {fence} used by several holders")))
            .chain(alternations.map(|at| format!("holders alternate at {at}")))
            .collect()
    }
}
