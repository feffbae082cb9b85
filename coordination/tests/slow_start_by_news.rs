//! The limit on requests at a replica that turned cold holds for the sum over all proxies in every order in which the
//! news reaches them: the end of an evacuation, the record that lists the replica as warming up, the loss of contact
//! with the control daemons and its return.

mod support;

use coordination::{
    Ms,
    bounds::Bounds,
    exchange::{AttemptOutcome, RequestHead, ResponseSignals},
    proxy::{Admission, Proxy},
};
use googletest::prelude::*;
use remote_calls::PathSpec;
use support::edge_fleet::{
    EDGES, WARMUP, ZONES, lane, lose_contact, most_in_a_second_of, proxy, record, record_change,
    record_of, replica_zone, roster, tell, warmup_limit,
};

/// When the replica's zone is evacuated, in ms: long after the proxies started.
const EVACUATED_AT: Ms = 11_000;
/// When the evacuation ends, in ms.
const RESTORED_AT: Ms = 15_000;
/// When the replica turns cold, in ms.
const COLD_AT: Ms = RESTORED_AT - 100;
/// Interval at which every edge wants to send a request, in ms.
const REQUEST_INTERVAL: Ms = 25;

/// In which order an edge learns of what happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum News {
    /// Of the evacuation and its end so many ms late, of the warm-up never: nobody reads the platform's list.
    ZoneOnly(Ms),
    /// Of the evacuation and its end at once, of the warm-up so many ms after the end.
    RecordLater(Ms),
    /// Of the warm-up before the end of the evacuation.
    RecordFirst,
    /// Of nothing: the edge lost contact before the evacuation.
    OutOfContact,
    /// Of the evacuation and its end when contact returns, so many ms after the end; of the warm-up never.
    ContactReturns(Ms),
    /// As `ContactReturns`, but of the warm-up too.
    ContactReturnsWithRecord(Ms),
    /// The edge starts so many ms after the end, and reads a record from before the warm-up.
    Starts(Ms),
    /// The edge starts so many ms after the end, and reads the newest record.
    StartsWithRecord(Ms),
}

const ALL_NEWS: [News; 14] = [
    News::ZoneOnly(0),
    News::ZoneOnly(700),
    News::RecordLater(400),
    News::RecordLater(1_500),
    News::RecordFirst,
    News::OutOfContact,
    News::ContactReturns(0),
    News::ContactReturns(600),
    News::ContactReturns(1_800),
    News::ContactReturnsWithRecord(600),
    News::Starts(0),
    News::Starts(600),
    News::Starts(1_800),
    News::StartsWithRecord(600),
];

/// An event at one edge.
enum Step {
    Evacuated,
    Restored,
    ListedCold,
    LoseContact,
    Start,
}

/// Returns the events at an edge, in ascending order of their times.
fn steps(news: News) -> Vec<(Ms, Step)> {
    match news {
        News::ZoneOnly(late) => vec![
            (EVACUATED_AT + late, Step::Evacuated),
            (RESTORED_AT + late, Step::Restored),
        ],
        News::RecordLater(late) => vec![
            (EVACUATED_AT, Step::Evacuated),
            (RESTORED_AT, Step::Restored),
            (RESTORED_AT + late, Step::ListedCold),
        ],
        News::RecordFirst => vec![
            (EVACUATED_AT, Step::Evacuated),
            (COLD_AT, Step::ListedCold),
            (RESTORED_AT, Step::Restored),
        ],
        News::OutOfContact => vec![(EVACUATED_AT - 500, Step::LoseContact)],
        News::ContactReturns(late) => vec![
            (EVACUATED_AT - 500, Step::LoseContact),
            (RESTORED_AT + late, Step::Restored),
        ],
        News::ContactReturnsWithRecord(late) => vec![
            (EVACUATED_AT - 500, Step::LoseContact),
            (RESTORED_AT + late, Step::Restored),
            (RESTORED_AT + late, Step::ListedCold),
        ],
        News::Starts(late) => vec![
            (RESTORED_AT + late, Step::Start),
            (RESTORED_AT + late, Step::Restored),
        ],
        News::StartsWithRecord(late) => vec![
            (RESTORED_AT + late, Step::Start),
            (RESTORED_AT + late, Step::Restored),
            (RESTORED_AT + late, Step::ListedCold),
        ],
    }
}

/// One edge of the fleet and what it has yet to learn.
struct Edge {
    index: usize,
    proxy: Proxy,
    steps: Vec<(Ms, Step)>,
}

impl Edge {
    fn new(index: usize, news: News) -> Self {
        let mut steps = steps(news);
        steps.reverse();
        Edge {
            index,
            proxy: new_proxy(index),
            steps,
        }
    }

    fn advance_to(&mut self, now: Ms) {
        while self.steps.last().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, step)) = self.steps.pop() {
                self.apply(&step, now);
            }
        }
    }

    fn apply(&mut self, step: &Step, now: Ms) {
        match step {
            Step::Evacuated => tell(&mut self.proxy, vec![replica_zone(1, true)], now),
            Step::Restored => tell(&mut self.proxy, vec![replica_zone(2, false)], now),
            Step::ListedCold => tell(&mut self.proxy, vec![record_change(2, true)], now),
            Step::LoseContact => lose_contact(&mut self.proxy, now),
            Step::Start => {
                self.proxy = new_proxy(self.index);
                // The start of the support module's proxies is long ago, so this one's contact begins anew.
                lose_contact(&mut self.proxy, now);
            }
        }
    }

    /// Whether the edge runs: one that starts later does not send before.
    fn is_running(&self) -> bool {
        !self
            .steps
            .iter()
            .any(|(_, step)| matches!(step, Step::Start))
    }
}

fn new_proxy(index: usize) -> Proxy {
    let roster = roster(0..EDGES);
    proxy(index, 0..EDGES, &roster, &record(false), Bounds::default())
}

/// Returns the most attempts that all edges together send to the replica within a second while it is cold, if each
/// wants to send one at every interval. `news_of(i)`: what edge `i` learns.
fn most_in_a_second(news_of: impl Fn(usize) -> News) -> usize {
    let lane: PathSpec = serde_json::from_value(lane()).unwrap();
    let head = RequestHead::default();
    let mut edges: Vec<Edge> = (0..EDGES)
        .map(|index| Edge::new(index, news_of(index)))
        .collect();
    // Everything before the warm-up happens without requests.
    let mut sent: Vec<Ms> = vec![];
    for edge in &mut edges {
        edge.advance_to(COLD_AT - REQUEST_INTERVAL);
    }
    for now in (COLD_AT..COLD_AT + WARMUP).step_by(REQUEST_INTERVAL as usize) {
        for edge in &mut edges {
            edge.advance_to(now);
            if !edge.is_running() {
                continue;
            }
            let admission = edge.proxy.assign_by_path(&lane, &head, &[], Ms::MAX, now);
            if matches!(admission, Admission::Assigned(_)) {
                sent.push(now);
            }
        }
    }
    most_in_a_second_of(&sent)
}

/// Replicas of each region of the largest deployment.
const REPLICAS_BY_REGION: [(&str, usize); 3] = [("a", 88), ("b", 62), ("c", 42)];
/// Interval at which each edge of that deployment is asked, in ms: 1,200 requests a second over all.
const USUAL_REQUEST_INTERVAL: Ms = 245;
/// Largest fraction of requests that may be rejected while no replica is known to be warm.
const REJECTED_MAX: f64 = 0.02;

/// Returns the replicas of the largest deployment, each with its zone.
fn all_replicas() -> Vec<(String, &'static str)> {
    let mut replicas = vec![];
    for (region, count) in REPLICAS_BY_REGION {
        let zones: Vec<&str> = ZONES
            .iter()
            .filter(|zone| zone.1 == region)
            .map(|zone| zone.0)
            .collect();
        for index in 0..count {
            replicas.push((format!("{region}-{index}"), zones[index % zones.len()]));
        }
    }
    replicas
}

/// Sends a request that is answered at once. Returns whether a replica was found for it.
fn is_served(proxy: &mut Proxy, lane: &PathSpec, now: Ms) -> bool {
    let head = RequestHead::default();
    let admission = proxy.assign_by_path(lane, &head, &[], Ms::MAX, now);
    let Admission::Assigned(assignment) = admission else {
        return false;
    };
    proxy.on_response_head(&assignment, &ResponseSignals::default(), now);
    proxy.on_first_chunk(&assignment, now);
    proxy.on_attempt_ended(&assignment, AttemptOutcome::Completed, now);
    true
}

// Guards against a limit that leaves edges without a replica: all are out of contact, and each may use few replicas.
#[gtest]
fn edges_out_of_contact_serve_the_usual_requests_within_the_warmup_limit() {
    let lane: PathSpec = serde_json::from_value(lane()).unwrap();
    let (roster, record) = (roster(0..EDGES), record_of(&all_replicas(), false));
    let mut proxies: Vec<Proxy> = (0..EDGES)
        .map(|index| proxy(index, 0..EDGES, &roster, &record, Bounds::default()))
        .collect();
    for proxy in &mut proxies {
        lose_contact(proxy, EVACUATED_AT);
    }
    let (mut asked, mut rejected) = (0, 0);
    for now in EVACUATED_AT..EVACUATED_AT + 2 * WARMUP {
        for (index, proxy) in proxies.iter_mut().enumerate() {
            if (now + index as Ms).is_multiple_of(USUAL_REQUEST_INTERVAL) {
                asked += 1;
                rejected += usize::from(!is_served(proxy, &lane, now));
            }
        }
    }
    expect_that!(rejected as f64 / f64::from(asked), le(REJECTED_MAX));
}

// Guards against the end of an evacuation that reaches the edges before the record that lists the zone's replicas as
// warming up: nobody reads the platform's list at that moment.
#[gtest]
fn replica_of_a_restored_zone_keeps_the_warmup_limit_before_it_is_listed_as_cold() {
    for news in [
        News::ZoneOnly(0),
        News::ZoneOnly(700),
        News::RecordLater(400),
        News::RecordLater(1_500),
        News::RecordFirst,
    ] {
        expect_that!(most_in_a_second(|_| news), le(warmup_limit()), "{news:?}");
    }
}

// Guards against edges that lost contact before an evacuation and so know neither of it nor of the warm-up after it.
#[gtest]
fn edges_out_of_contact_keep_the_warmup_limit_at_a_replica_that_turned_cold() {
    for news in [
        News::OutOfContact,
        News::ContactReturns(0),
        News::ContactReturns(600),
        News::ContactReturns(1_800),
        News::ContactReturnsWithRecord(600),
    ] {
        expect_that!(most_in_a_second(|_| news), le(warmup_limit()), "{news:?}");
    }
}

// Guards against edges that start after a replica turned cold and read a record from before that.
#[gtest]
fn edges_that_start_with_an_older_record_keep_the_warmup_limit() {
    for news in [
        News::Starts(0),
        News::Starts(600),
        News::Starts(1_800),
        News::StartsWithRecord(600),
    ] {
        expect_that!(most_in_a_second(|_| news), le(warmup_limit()), "{news:?}");
    }
}

// Guards against shares that each keep the limit among edges of one kind but not in sum.
#[gtest]
fn edges_that_learn_in_different_orders_keep_the_warmup_limit_together() {
    for (first, news) in ALL_NEWS.iter().enumerate() {
        for other in &ALL_NEWS[first + 1..] {
            let alternating =
                most_in_a_second(|index| if index / 6 % 2 == 0 { *news } else { *other });
            expect_that!(
                alternating,
                le(warmup_limit()),
                "{news:?} and {other:?} by turns"
            );
            let by_region = most_in_a_second(|index| {
                if ZONES[index % ZONES.len()].1 == "c" {
                    *news
                } else {
                    *other
                }
            });
            expect_that!(
                by_region,
                le(warmup_limit()),
                "{news:?} in region c, {other:?}"
            );
        }
    }
    let all = most_in_a_second(|index| ALL_NEWS[index % ALL_NEWS.len()]);
    expect_that!(all, le(warmup_limit()), "all orders");
}
