//! Tests of usage reports to the platform, with real control daemons, a network with partitions, disks that sync and
//! are lost, and a platform that is down, responds late or does not respond: there is one report per window, under
//! rising fencing tokens.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Ms,
    bounds::Bounds,
    control::{KILL_SWITCH_KEY, LATE_WINDOWS_MAX, UNACCEPTED_REPORTS_MAX, UsageLog},
    platform_call::CallOutcome,
    register::USAGE_KEY,
    wire::Message,
};
use fleet::{
    Fleet, WALL_START, addr,
    platform::{Arrival, Condition},
    usage_edges::UsageEdges,
};
use googletest::prelude::*;

/// Length of a window, in ms.
const WINDOW: Ms = 5_000;
/// Time after a window's end at which its report is due, in ms.
const DELAY: Ms = 10_000;
const DAEMONS: usize = 5;

fn bounds() -> Bounds {
    Bounds {
        usage_window: WINDOW,
        usage_delay: DELAY,
        role_pause: 3_000,
        ..Bounds::default()
    }
}

/// A fleet of control daemons, edges that count usage, and a platform.
struct UsageFleet {
    fleet: Fleet,
    edges: UsageEdges,
}

impl UsageFleet {
    fn with_bounds(seed: u64, bounds: Bounds) -> Self {
        let region = |index: usize| format!("r{}", index % 3);
        let fleet = Fleet::bootstrapped_with(bounds, seed, DAEMONS, region);
        let edges = UsageEdges::new(3, WINDOW);
        UsageFleet { fleet, edges }
    }

    /// Returns a fleet that has reported some windows.
    fn reporting(seed: u64) -> Self {
        UsageFleet::reporting_with(seed, bounds())
    }

    fn reporting_with(seed: u64, bounds: Bounds) -> Self {
        let mut usage = UsageFleet::with_bounds(seed, bounds);
        usage.run(30_000);
        assert!(!usage.fleet.platform.arrivals.is_empty(), "seed {seed}");
        usage
    }

    fn run(&mut self, duration: Ms) {
        for _ in 0..duration {
            self.edges.step(&mut self.fleet);
            self.fleet.run(1);
        }
    }

    /// Runs until a condition holds, for at most two minutes.
    fn run_until(&mut self, what: &str, condition: impl Fn(&Fleet) -> bool) {
        for _ in 0..120_000 {
            if condition(&self.fleet) {
                return;
            }
            self.run(1);
        }
        panic!("timed out waiting for {what}");
    }

    fn holder(&self) -> Option<usize> {
        holder(&self.fleet)
    }

    /// Runs until a daemon holds the role, and returns its index.
    fn wait_for_holder(&mut self) -> usize {
        self.run_until("a holder", |fleet| holder(fleet).is_some());
        self.holder().unwrap()
    }

    fn current_window(&self) -> u64 {
        (WALL_START + self.fleet.now) / WINDOW
    }

    /// Returns the first whole window after the system's start.
    fn first_window() -> u64 {
        WALL_START.div_ceil(WINDOW)
    }

    /// Returns the windows from the first whole one on whose reports are due and missing.
    fn missing_windows(&self) -> Vec<u64> {
        let reported = self.fleet.platform.reports_by_window();
        let due_before = self.current_window() - DELAY / WINDOW;
        (UsageFleet::first_window()..due_before)
            .filter(|window| !reported.contains_key(window))
            .collect()
    }

    /// Returns the windows whose reports differ from the expected counts by more than the fraction `tolerance`.
    fn inaccurate_windows(&self, tolerance: f64) -> Vec<u64> {
        let is_inaccurate =
            |(window, report): &(u64, &coordination::platform_call::UsageReport)| {
                let counts = report.counts.iter();
                let reported: BTreeMap<String, u64> = counts
                    .map(|count| (count.tenant.clone(), count.count))
                    .collect();
                let expected = self.edges.truth_of(*window);
                let is_within_tolerance = |tenant: &String, count: u64| {
                    let reported = reported.get(tenant).copied().unwrap_or(0);
                    reported.abs_diff(count) as f64 <= tolerance * count as f64
                };
                reported.len() != expected.len()
                    || !expected
                        .iter()
                        .all(|(t, count)| is_within_tolerance(t, *count))
            };
        let reports = self.fleet.platform.reports_by_window().into_iter();
        reports
            .filter(is_inaccurate)
            .map(|(window, _)| window)
            .collect()
    }

    fn violations(&self) -> Vec<String> {
        self.violations_within(bounds().role_pause)
    }

    /// Returns the violations that the platform observed; holders must not alternate within `lease`.
    fn violations_within(&self, lease: Ms) -> Vec<String> {
        self.fleet.platform.violations(lease)
    }

    /// Checks that there are no violations, and that every window that is due has its report.
    fn expect_no_violations(&self, label: &str) {
        expect_that!(self.violations(), is_empty(), "{label}");
        expect_that!(self.missing_windows(), is_empty(), "{label}");
    }

    /// Returns the usage log as known to a daemon.
    fn log(&self, index: usize) -> UsageLog {
        let value = self.fleet.value(index, USAGE_KEY);
        value
            .and_then(|(_, value)| coordination::compressed::decode(&value))
            .unwrap_or_default()
    }
}

fn holder(fleet: &Fleet) -> Option<usize> {
    (0..fleet.daemons.len()).find(|index| {
        let is_running = fleet.daemons[*index].suspended_until <= fleet.now;
        fleet
            .control(*index)
            .filter(|_| is_running)
            .is_some_and(|control| control.registers.held_until(USAGE_KEY, fleet.now).is_some())
    })
}

/// A stage of committing and sending a report.
#[derive(Clone, Copy, Debug)]
enum ReportStage {
    /// The report's write is in flight.
    Committing,
    /// The report is committed, and its call is queued.
    CallQueued,
    /// The call to the platform is in flight.
    CallInFlight,
    /// The platform has acted, and its response is in flight.
    ResponseInFlight,
    /// The response has arrived.
    ResponseReceived,
}

const REPORT_STAGES: [ReportStage; 5] = [
    ReportStage::Committing,
    ReportStage::CallQueued,
    ReportStage::CallInFlight,
    ReportStage::ResponseInFlight,
    ReportStage::ResponseReceived,
];

impl UsageFleet {
    /// Runs until the next report reaches a stage, and returns the daemon that makes the report.
    fn run_to_stage(&mut self, stage: ReportStage) -> usize {
        self.fleet.platform.pacing = 100;
        self.fleet.platform.latency = 100;
        let holder = self.wait_for_holder();
        let arrived = self.fleet.platform.arrivals.len();
        match stage {
            ReportStage::Committing => self.run_until("a write", |fleet| {
                let control = fleet.control(holder);
                control.is_some_and(|control| control.registers.has_pending_writes(USAGE_KEY))
            }),
            ReportStage::CallQueued => {
                self.run_until("a queued call", |fleet| fleet.platform.waiting > 0);
            }
            ReportStage::CallInFlight => {
                self.run_until("a call in flight", |fleet| fleet.platform.on_their_way > 0);
            }
            ReportStage::ResponseInFlight | ReportStage::ResponseReceived => {
                self.run_until("the arrival of a call", |fleet| {
                    fleet.platform.arrivals.len() > arrived
                });
            }
        }
        if matches!(stage, ReportStage::ResponseReceived) {
            self.run(101);
        }
        holder
    }
}

/// Guards against windows that are missed, reported twice or counted wrongly in the absence of failures.
#[gtest]
fn each_window_is_reported_once_in_time_with_its_counts() {
    for seed in 0..3 {
        let mut usage = UsageFleet::with_bounds(seed, bounds());
        usage.run(90_000);
        usage.expect_no_violations(&format!("seed {seed}"));
        expect_that!(usage.inaccurate_windows(0.0), is_empty(), "seed {seed}");
        let reports = usage.fleet.platform.accepted_reports();
        let windows: Vec<u64> = reports.iter().map(|(_, report)| report.window).collect();
        let first = UsageFleet::first_window();
        let expected: Vec<u64> = (first..first + windows.len() as u64).collect();
        expect_that!(windows, eq(&expected), "seed {seed}");
        // The first holder waits for a lease duration and the role pause.
        for (at, report) in reports.into_iter().filter(|(at, _)| *at > 20_000) {
            let due = (report.window + 1) * WINDOW + DELAY - WALL_START;
            expect_that!(at, lt(due), "seed {seed}: window {}", report.window);
        }
    }
}

/// Guards against a second report of a window, and a lost one, if the holder is killed at any stage of a report.
#[gtest]
fn a_killed_holders_reports_are_sent_on_as_they_were_committed() {
    for (seed, stage) in (0..).zip(REPORT_STAGES) {
        let mut usage = UsageFleet::reporting(seed);
        let holder = usage.run_to_stage(stage);
        usage.fleet.kill(holder);
        usage.run(8_000);
        usage.fleet.start(holder);
        usage.run(40_000);
        let label = format!("{stage:?}");
        usage.expect_no_violations(&label);
        expect_that!(usage.inaccurate_windows(0.0), is_empty(), "{label}");
        expect_that!(usage.fleet.platform.falling_fences(), is_empty(), "{label}");
    }
}

/// Guards against a suspended holder that calls the platform when it resumes, though its lease has ended.
#[gtest]
fn a_suspended_holder_sends_nothing_after_it_resumes() {
    for (seed, stage) in (10..).zip(REPORT_STAGES) {
        let mut usage = UsageFleet::reporting(seed);
        let holder = usage.run_to_stage(stage);
        let suspended_at = usage.fleet.now;
        usage.fleet.daemons[holder].suspended_until = suspended_at + 20_000;
        usage.run(60_000);
        let label = format!("{stage:?}");
        usage.expect_no_violations(&label);
        expect_that!(usage.fleet.platform.falling_fences(), is_empty(), "{label}");
        let epoch_before = |arrival: &&Arrival| arrival.at <= suspended_at;
        let arrivals = &usage.fleet.platform.arrivals;
        let epoch = arrivals
            .iter()
            .rfind(epoch_before)
            .map(|arrival| arrival.epoch);
        let sent_after_resume = arrivals
            .iter()
            .filter(|arrival| arrival.at > suspended_at + 20_000 && Some(arrival.epoch) == epoch);
        expect_that!(sent_after_resume.count(), eq(0), "{label}");
    }
}

/// Guards against a holder that is partitioned from the other daemons, still reaches the platform, and continues
/// alongside the next holder; and against a holder that loses only the platform.
#[gtest]
fn a_partitioned_holder_stops_before_the_next_one_starts() {
    for (seed, stage) in (20..).zip(REPORT_STAGES) {
        let mut usage = UsageFleet::reporting(seed);
        let holder = usage.run_to_stage(stage);
        usage.fleet.partitioned.insert(addr(holder));
        usage.run(30_000);
        usage.fleet.partitioned.clear();
        usage.run(30_000);
        let label = format!("{stage:?}");
        usage.expect_no_violations(&label);
        expect_that!(usage.fleet.platform.falling_fences(), is_empty(), "{label}");
    }
}

/// Guards against a term that outlives a one-way partition: the holder receives messages from the others, but they
/// receive none from it.
#[gtest]
fn a_holder_whose_messages_are_lost_stops_before_the_next_one_starts() {
    for (seed, stage) in (30..).zip(REPORT_STAGES) {
        let mut usage = UsageFleet::reporting(seed);
        let holder = usage.run_to_stage(stage);
        let holder_addr = addr(holder);
        usage.fleet.delivers = Box::new(move |from, _, _| *from != holder_addr);
        usage.run(30_000);
        usage.fleet.delivers = Box::new(|_, _, _| true);
        usage.run(30_000);
        let label = format!("{stage:?}");
        usage.expect_no_violations(&label);
        expect_that!(usage.fleet.platform.falling_fences(), is_empty(), "{label}");
    }
}

/// Guards against a report that is computed again, with other counts, because the response to the first was lost.
#[gtest]
fn a_report_whose_response_was_lost_is_resent_unchanged() {
    let mut usage = UsageFleet::reporting(40);
    usage.fleet.platform.condition = Condition::AnswersLost;
    usage.run(15_000);
    let holder = usage.wait_for_holder();
    usage.fleet.kill(holder);
    usage.run(15_000);
    usage.fleet.platform.condition = Condition::Working;
    usage.fleet.start(holder);
    usage.run(40_000);
    usage.expect_no_violations("responses lost");
    let reports = usage.fleet.platform.accepted_reports();
    let windows = usage.fleet.platform.reports_by_window();
    expect_that!(reports.len(), gt(windows.len()));
}

/// Guards against a second report of a window after all processes were killed between its commit and its sending.
#[gtest]
fn a_restart_of_all_daemons_changes_no_committed_report() {
    for (seed, stage) in (50..).zip(REPORT_STAGES) {
        let mut usage = UsageFleet::reporting(seed);
        let holder = usage.run_to_stage(stage);
        let logged = usage.log(holder);
        (0..DAEMONS).for_each(|index| usage.fleet.kill(index));
        usage.run(800);
        (0..DAEMONS).for_each(|index| usage.fleet.start(index));
        usage.run(50_000);
        let label = format!("{stage:?}");
        usage.expect_no_violations(&label);
        let reported = usage.fleet.platform.reports_by_window();
        for report in &logged.unaccepted {
            expect_that!(reported.get(&report.window), some(eq(&report)), "{label}");
        }
    }
}

/// Guards against a repeated epoch or a lost log after daemons lost their disks.
#[gtest]
fn two_wiped_disks_repeat_no_epoch_and_lose_no_report() {
    for (seed, stage) in (60..).zip(REPORT_STAGES) {
        let mut usage = UsageFleet::reporting(seed);
        let holder = usage.run_to_stage(stage);
        let other = (holder + 1) % DAEMONS;
        for index in [holder, other] {
            usage.fleet.wipe(index);
        }
        usage.run(2_000);
        for index in [holder, other] {
            usage.fleet.start(index);
        }
        usage.run(60_000);
        let label = format!("{stage:?}");
        usage.expect_no_violations(&label);
        expect_that!(usage.fleet.platform.falling_fences(), is_empty(), "{label}");
    }
}

/// Duration of a platform lease, in ms. It exceeds the leases of keys, so a role may change hands twice within it.
const LONG_LEASE: Ms = 6_000;

/// Hangs the holder's disk repeatedly just after it made a call, for so long that it relinquishes its keys: another
/// daemon acquires the role at once, and the former holder is back soon after.
fn run_with_hung_disks(role_pause: Ms, seed: u64) -> UsageFleet {
    let bounds = Bounds {
        role_pause,
        ..bounds()
    };
    let mut usage = UsageFleet::reporting_with(seed, bounds);
    for round in 0..6 {
        usage.fleet.platform.condition = Condition::Working;
        usage.run(20_000);
        // Ensures that any holder has a report to send.
        usage.fleet.platform.condition = Condition::AnswersLost;
        let arrived = usage.fleet.platform.arrivals.len();
        usage.run_until("a call", |fleet| fleet.platform.arrivals.len() > arrived);
        let holder = usage.fleet.platform.arrivals[arrived].holder;
        let hang = if round % 2 == 0 { 1_500 } else { 8_000 };
        usage.fleet.daemons[holder].disk_hung_until = usage.fleet.now + hang;
        let value = format!("{round}");
        usage.fleet.write(holder, "zone/z1", None, value.as_bytes());
        usage.run(20_000);
    }
    usage
}

/// Guards against a former holder that acquires the role again at once, so that holders act in the order A, B, A.
#[gtest]
fn holders_do_not_alternate_within_the_role_pause() {
    for seed in 70..74 {
        let usage = run_with_hung_disks(LONG_LEASE, seed);
        expect_that!(
            usage.violations_within(LONG_LEASE),
            is_empty(),
            "seed {seed}"
        );
        let arrivals = usage.fleet.platform.arrivals.iter();
        let holders: BTreeSet<usize> = arrivals.map(|arrival| arrival.holder).collect();
        expect_that!(holders.len(), gt(1), "seed {seed}");
    }
}

/// Verifies that the checker detects alternating holders: without the pause there are some.
#[gtest]
fn holders_alternate_without_the_role_pause() {
    let alternate = |seed| {
        !run_with_hung_disks(0, seed)
            .violations_within(LONG_LEASE)
            .is_empty()
    };
    expect_true!((70..74).any(alternate));
}

/// Guards against a new holder that calls before edges could report to it and its predecessor's calls have ended.
#[gtest]
fn a_new_holder_waits_the_role_pause() {
    let mut usage = UsageFleet::reporting(80);
    usage.fleet.platform.condition = Condition::AnswersLost;
    let former = usage.wait_for_holder();
    usage.fleet.kill(former);
    let next = usage.wait_for_holder();
    let (acquired_at, arrived) = (usage.fleet.now, usage.fleet.platform.arrivals.len());
    usage.run(20_000);
    let later = &usage.fleet.platform.arrivals[arrived..];
    let first = later.iter().find(|arrival| arrival.holder == next);
    expect_that!(first.unwrap().at, ge(acquired_at + 3_000));
}

/// Guards against a holder that continues under an epoch that the platform has refused, or at once under another one.
#[gtest]
fn a_superseded_holder_ends_its_term() {
    let mut usage = UsageFleet::reporting(90);
    let former_epoch = usage.fleet.platform.arrivals.last().unwrap().epoch;
    let fences = &mut usage.fleet.platform.highest_fences;
    fences.insert("usage".into(), former_epoch + 1);
    usage.run(60_000);
    let arrivals = &usage.fleet.platform.arrivals;
    let refused: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.outcome == Some(CallOutcome::Superseded))
        .collect();
    expect_that!(refused.len(), eq(1));
    let later = arrivals.iter().filter(|arrival| arrival.at > refused[0].at);
    for arrival in later {
        expect_that!(arrival.epoch, gt(former_epoch));
        expect_that!(arrival.at, ge(refused[0].at + 3_000));
    }
    usage.expect_no_violations("superseded");
}

/// Guards against unlimited calls to a platform that is down, and against reports that are lost during the outage.
#[gtest]
fn calls_back_off_while_the_platform_is_down_and_catch_up_later() {
    for condition in [Condition::Down, Condition::RateLimiting] {
        let mut usage = UsageFleet::reporting(100);
        usage.fleet.platform.condition = condition;
        let arrived = usage.fleet.platform.arrivals.len();
        usage.run(90_000);
        let calls = usage.fleet.platform.arrivals.len() - arrived;
        expect_that!(calls, le(16), "{condition:?}");
        usage.fleet.platform.condition = Condition::Working;
        usage.run(30_000);
        usage.expect_no_violations(&format!("{condition:?}"));
        let reports = usage.fleet.platform.accepted_reports();
        let windows: Vec<u64> = reports.iter().map(|(_, report)| report.window).collect();
        expect_true!(windows.is_sorted());
        expect_that!(usage.inaccurate_windows(0.0), is_empty(), "{condition:?}");
    }
}

/// Guards against a log that grows without bound while the platform is down, and against windows that are lost once it
/// works.
#[gtest]
fn the_log_stays_bounded_during_a_long_platform_outage() {
    let mut usage = UsageFleet::reporting(110);
    usage.fleet.platform.condition = Condition::Down;
    usage.run((UNACCEPTED_REPORTS_MAX as Ms + 8) * WINDOW);
    let holder = usage.wait_for_holder();
    expect_that!(
        usage.log(holder).unaccepted.len(),
        eq(UNACCEPTED_REPORTS_MAX)
    );
    usage.fleet.platform.condition = Condition::Working;
    usage.run(40_000);
    usage.expect_no_violations("after an outage");
    expect_that!(usage.inaccurate_windows(0.0), is_empty());
    expect_that!(usage.log(holder).unaccepted.len(), le(1));
}

/// Guards against windows that are never reported because no daemon was running when they ended.
#[gtest]
fn windows_during_which_control_was_down_are_reported_late() {
    let mut usage = UsageFleet::reporting(120);
    (0..DAEMONS).for_each(|index| usage.fleet.kill(index));
    usage.run(60_000);
    (0..DAEMONS).for_each(|index| usage.fleet.start(index));
    usage.run(60_000);
    usage.expect_no_violations("control was down");
    expect_that!(usage.inaccurate_windows(0.0), is_empty());
}

/// Guards against an endless series of reports of windows that are too old to be of use.
#[gtest]
fn windows_that_are_far_too_old_are_skipped() {
    let mut usage = UsageFleet::reporting(130);
    (0..DAEMONS).for_each(|index| usage.fleet.kill(index));
    let stopped_in = usage.current_window();
    // No daemon runs, and edges need not report in the meantime.
    usage.fleet.run((LATE_WINDOWS_MAX + 40) * WINDOW);
    (0..DAEMONS).for_each(|index| usage.fleet.start(index));
    let started_in = usage.current_window();
    usage.run(60_000);
    expect_that!(usage.violations(), is_empty());
    let reported = usage.fleet.platform.reports_by_window();
    let late: Vec<u64> = reported
        .into_keys()
        .filter(|window| (stopped_in + 1..started_in).contains(window))
        .collect();
    expect_that!(late.len() as u64, le(LATE_WINDOWS_MAX));
    expect_that!(late.first(), some(ge(&(started_in - LATE_WINDOWS_MAX))));
}

/// Guards against an unreachable edge that delays the reports of all others past the time at which they are due.
#[gtest]
fn a_window_is_closed_in_time_without_an_edge_that_is_cut_off() {
    let mut usage = UsageFleet::reporting(140);
    let before = usage.current_window();
    usage.edges.cut_off.insert(0);
    usage.run(30_000);
    let reports = usage.fleet.platform.accepted_reports();
    for (at, report) in reports
        .into_iter()
        .filter(|(_, report)| report.window > before)
    {
        let due = (report.window + 1) * WINDOW + DELAY - WALL_START;
        expect_that!(at, lt(due));
    }
    usage.expect_no_violations("unreachable edge");
}

/// Guards against calls to the platform while operators have switched all automatic action off.
#[gtest]
fn nothing_is_called_while_the_kill_switch_is_on() {
    let mut usage = UsageFleet::reporting(150);
    usage
        .fleet
        .write_until_accepted(KILL_SWITCH_KEY, b"true", 10_000);
    usage.run(3_000);
    let arrived = usage.fleet.platform.arrivals.len();
    usage.run(30_000);
    expect_that!(usage.fleet.platform.arrivals.len(), eq(arrived));
    usage
        .fleet
        .write_until_accepted(KILL_SWITCH_KEY, b"false", 10_000);
    usage.run(40_000);
    usage.expect_no_violations("after the kill switch");
}

/// Guards against calls, and a key, if usage is not counted.
#[gtest]
fn nothing_is_reported_where_usage_is_not_counted() {
    let uncounted = Bounds {
        usage_window: 0,
        ..bounds()
    };
    let mut usage = UsageFleet::with_bounds(160, uncounted);
    usage.run(40_000);
    expect_that!(usage.fleet.platform.arrivals.len(), eq(0));
    let has_key = |index| usage.fleet.value(index, USAGE_KEY).is_some();
    expect_false!((0..DAEMONS).any(has_key));
}

/// Guards against a usage log that is sent to every edge at each change.
#[gtest]
fn the_usage_log_is_not_sent_to_edges() {
    use std::{cell::RefCell, rc::Rc};
    let mut usage = UsageFleet::reporting(170);
    let sent = Rc::new(RefCell::new(vec![]));
    let seen = Rc::clone(&sent);
    usage.fleet.delivers = Box::new(move |_, _, message| {
        if let Message::Update(update) = message {
            let changes = update.changes.0.iter();
            seen.borrow_mut()
                .extend(changes.map(|change| change.key.to_string()));
        }
        true
    });
    usage.fleet.write_until_accepted("zone/z1", b"{}", 10_000);
    usage.run(20_000);
    expect_that!(*sent.borrow(), contains(eq("zone/z1")));
    expect_that!(*sent.borrow(), not(contains(eq(USAGE_KEY))));
}

/// Guards against a queued call that is sent after its lease has ended.
#[gtest]
fn a_queued_call_is_dropped_after_its_lease_ends() {
    let mut usage = UsageFleet::reporting(180);
    usage.fleet.platform.pacing = 4_000;
    let arrived = usage.fleet.platform.arrivals.len();
    usage.run(20_000);
    expect_that!(usage.fleet.platform.dropped, gt(0));
    expect_that!(usage.fleet.platform.arrivals.len(), eq(arrived));
    usage.fleet.platform.pacing = 0;
    usage.run(40_000);
    usage.expect_no_violations("after long pacing");
}
