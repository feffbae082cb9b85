//! Health of versions: counts of ended and failed requests by version, lane and cache warmth, summed
//! over edges, and the verdict on one version against another.

use std::collections::{BTreeMap, VecDeque};

use wire_messages::{Name, OutcomeCounters};
use xxhash_rust::xxh3::xxh3_64;

use crate::Ms;

mod placed;

/// Failures of a version before it may be called bad: two can be chance.
const MIN_FAILURES: u64 = 3;
/// Percent by which a version's failure rate must exceed the other's.
const FAILURE_MARGIN_PERCENT: u64 = 10;
/// Percent of ended requests that a version may fail on when there is no other to hold it against.
const FAILURE_PERCENT_ALONE: u64 = 20;
/// ms. Windows that failure rates are taken over: short ones show a version that has just turned, long ones
/// a quiet service's.
pub(crate) const HEALTH_WINDOWS: [Ms; 6] = [1_000, 2_000, 4_000, 8_000, 16_000, 30_000];
/// Parts of a doubling in a time's logarithm: a twentieth of a time is more than any comparison needs.
const LOG_UNITS_PER_DOUBLING: f64 = 16.0;
/// ms. Spacing of remembered sums.
const WINDOW_SPACING: Ms = 250;

/// Version, lane, warm.
type Cell = (Name, Name, bool);
/// Makes a set of counts that are added and taken away field by field.
macro_rules! counts {
    ($($(#[$d:meta])* $f:ident),* $(,)?) => {
        /// What was counted of a cell.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct OutcomeCounts {
            $($(#[$d])* pub $f: u64,)*
            /// Replicas that failed, one or a few to a bit: `failing`.
            pub failed_replicas: u64,
        }
        impl OutcomeCounts {
            fn minus(self, o: OutcomeCounts) -> OutcomeCounts {
                OutcomeCounts { $($f: self.$f.saturating_sub(o.$f),)* failed_replicas: self.failed_replicas & !o.failed_replicas }
            }
            fn plus(self, o: OutcomeCounts) -> OutcomeCounts {
                OutcomeCounts { $($f: self.$f + o.$f,)* failed_replicas: self.failed_replicas | o.failed_replicas }
            }
        }
    };
}

counts! {
    sent,
    ended,
    failed,
    slow,
    /// First pieces, and the sum of `log_ms` of the times to them.
    first_chunks,
    first_chunk_log_sum,
}

/// The bit of a replica that failed. Replicas are told apart only as far as it takes to see whether there is
/// more than one.
pub fn replica_bit(replica: &str) -> u64 {
    1 << (xxh3_64(replica.as_bytes()) % 64)
}

/// A time as its logarithm, in sixteenths of a doubling. Sums of these compare versions by geometric means, which
/// a few long prompts hardly move.
pub fn log_ms(ms: Ms) -> u64 {
    ((ms.max(1) as f64).log2() * LOG_UNITS_PER_DOUBLING).round() as u64
}

/// ms. The longest window.
const LONG_WINDOW: Ms = HEALTH_WINDOWS[HEALTH_WINDOWS.len() - 1];
/// No window: all since the last restart. A rare lane's failures come too far apart for any window.
const EVER: Ms = Ms::MAX;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Fine,
    Bad,
}

/// Requests sent to replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// Of all versions.
    pub all: u64,
    /// Of one version.
    pub version: u64,
}

/// A cell by its number, and what it counted.
type Row = (u32, OutcomeCounts);

/// What one edge told last.
#[derive(Clone, Debug, Default)]
struct CounterSource {
    incarnation: u64,
    /// Cumulative counts, by cell and group.
    last: BTreeMap<(u32, u8), OutcomeCounts>,
}

#[derive(Clone, Debug, Default)]
pub struct VersionHealth {
    /// Cells are many and their names long: all tables below name them by number.
    cells: BTreeMap<Cell, u32>,
    /// Sums over all sources, by the cell's number.
    sums: Vec<OutcomeCounts>,
    sources: BTreeMap<Name, CounterSource>,
    /// What was added in each spell, and when the spell ended. Nothing is kept of a cell that nothing was added to:
    /// most lanes rest most of the time.
    windows: VecDeque<(Ms, Vec<Row>)>,
    /// Added since.
    current_window: BTreeMap<u32, OutcomeCounts>,
    /// Sums at the last restart: nothing before it counts.
    baseline: Vec<OutcomeCounts>,
}

impl OutcomeCounts {
    fn failures(&self) -> (u64, u64) {
        (self.ended, self.failed)
    }
}

impl VersionHealth {
    fn number(&mut self, cell: Cell) -> u32 {
        let next = self.sums.len() as u32;
        let n = *self.cells.entry(cell).or_insert(next);
        if n == next {
            self.sums.push(OutcomeCounts::default());
        }
        n
    }

    /// Adds a source's cumulative tallies of one service: of all its cells, or of those that have changed.
    pub fn add_counters(&mut self, source: &Name, life: u64, tallies: &[OutcomeCounters]) {
        // Of what a source counted before it was first heard only its last half minute is evidence; a later
        // life of it counts from nought.
        let first = !self.sources.contains_key(source);
        let mut old = self
            .sources
            .remove(source)
            .filter(|o| o.incarnation == life)
            .unwrap_or_default();
        old.incarnation = life;
        for t in tallies {
            let n = self.number((t.version.clone(), t.lane.clone(), t.cached != 0));
            let ended = t.succeeded + t.failed;
            let (failed, slow, firsts, first_log) =
                (t.failed, t.slow, t.first_chunks, t.first_chunk_log_sum);
            let c = OutcomeCounts {
                sent: t.sent,
                ended,
                failed,
                slow,
                first_chunks: firsts,
                first_chunk_log_sum: first_log,
                failed_replicas: t.failed_replicas,
            };
            let before = old.last.get(&(n, t.group)).copied().unwrap_or_default();
            // Counts only rise in a life: lower ones are late.
            if c.sent + c.ended < before.sent + before.ended {
                continue;
            }
            old.last.insert((n, t.group), c);
            let (ended, failed, slow) = (t.recent_ended, t.recent_failed, t.recent_slow);
            // Which replicas failed is told since the edge's start only; without them what comes in one word is one crash.
            let failed_on = if failed > 0 { t.failed_replicas } else { 0 };
            let recent = OutcomeCounts {
                sent: ended,
                ended,
                failed,
                slow,
                failed_replicas: failed_on,
                ..OutcomeCounts::default()
            };
            let d = if first { recent } else { c.minus(before) };
            if d != OutcomeCounts::default() {
                let (s, f) = (
                    &mut self.sums[n as usize],
                    self.current_window.entry(n).or_default(),
                );
                (*s, *f) = (s.plus(d), f.plus(d));
            }
        }
        self.sources.insert(source.clone(), old);
    }
    pub fn tick(&mut self, now: Ms) {
        if self
            .windows
            .back()
            .is_some_and(|(t, _)| now.saturating_sub(*t) < WINDOW_SPACING)
        {
            return;
        }
        self.close(now);
        // One that is older than the longest window stays: it is that window's beginning.
        while self
            .windows
            .get(1)
            .is_some_and(|(t, _)| now.saturating_sub(*t) > LONG_WINDOW)
        {
            self.windows.pop_front();
        }
    }
    fn close(&mut self, now: Ms) {
        let fresh = std::mem::take(&mut self.current_window)
            .into_iter()
            .collect();
        self.windows.push_back((now, fresh));
    }
    /// Forgets the past, so that a new phase is judged by what happens in it.
    pub fn restart(&mut self, now: Ms) {
        self.windows.clear();
        self.close(now);
        self.baseline = self.sums.clone();
    }
    /// Counts within the last `w` ms, of cells that `f` picks.
    fn within(&self, now: Ms, w: Ms, f: impl Fn(&Cell) -> bool) -> OutcomeCounts {
        let mut picked = vec![false; self.sums.len()];
        self.cells
            .iter()
            .for_each(|(c, n)| picked[*n as usize] = f(c));
        let mut sum = OutcomeCounts::default();
        self.rows(now, w, |n, c| {
            if picked[n as usize] {
                sum = sum.plus(c);
            }
        });
        sum
    }
    /// Gives all that was counted within the last `w` ms.
    fn rows(&self, now: Ms, w: Ms, mut take: impl FnMut(u32, OutcomeCounts)) {
        // The last spell that had ended when the window began: what came after it lies in the window.
        if let Some(i) = self
            .windows
            .iter()
            .rposition(|(t, _)| now.saturating_sub(*t) >= w)
        {
            self.windows
                .iter()
                .skip(i + 1)
                .flat_map(|(_, rows)| rows)
                .for_each(|(n, c)| take(*n, *c));
            return self.current_window.iter().for_each(|(n, c)| take(*n, *c));
        }
        let floor = |n: usize| self.baseline.get(n).copied().unwrap_or_default();
        self.sums
            .iter()
            .enumerate()
            .for_each(|(n, v)| take(n as u32, v.minus(floor(n))));
    }
    /// What one cell counted in the longest window: ended, failed, slow.
    pub fn recent(&self, version: &str, lane: &str, warm: bool, now: Ms) -> (u64, u64, u64) {
        let cell = (Name::from(version), Name::from(lane), warm);
        let Some(n) = self.cells.get(&cell).copied() else {
            return (0, 0, 0);
        };
        let c = match self
            .windows
            .iter()
            .rposition(|(t, _)| now.saturating_sub(*t) >= LONG_WINDOW)
        {
            Some(i) => {
                let at = |rows: &Vec<Row>| {
                    rows.binary_search_by_key(&n, |r| r.0)
                        .map_or(OutcomeCounts::default(), |i| rows[i].1)
                };
                let all = self.windows.iter().skip(i + 1).map(|(_, rows)| at(rows));
                all.chain(self.current_window.get(&n).copied())
                    .fold(OutcomeCounts::default(), OutcomeCounts::plus)
            }
            None => self.sums[n as usize]
                .minus(self.baseline.get(n as usize).copied().unwrap_or_default()),
        };
        (c.ended, c.failed, c.slow)
    }
    /// Whether any edge has told its counts, were it that there are none.
    pub fn has_sources(&self) -> bool {
        !self.sources.is_empty()
    }
    /// Requests of a version that ended since the last restart, within the long window.
    pub fn ended(&self, version: &str, now: Ms) -> u64 {
        self.within(now, LONG_WINDOW, |c| &*c.0 == version).ended
    }
    /// Those of the last `w` ms.
    pub fn ended_in(&self, version: &str, w: Ms, now: Ms) -> u64 {
        self.within(now, w, |c| &*c.0 == version).ended
    }
    pub fn failed(&self, version: &str, now: Ms) -> u64 {
        self.within(now, EVER, |c| &*c.0 == version).failed
    }
    /// Requests of a version that ended on a lane since the last restart.
    pub fn ended_on(&self, version: &str, lane: &str, now: Ms) -> u64 {
        self.within(now, EVER, |c| &*c.0 == version && &*c.1 == lane)
            .ended
    }
    fn lanes(&self, version: &str) -> Vec<&Name> {
        let mut v: Vec<&Name> = self
            .cells
            .keys()
            .filter(|c| &*c.0 == version)
            .map(|c| &c.1)
            .collect();
        v.dedup();
        v
    }
    /// What a version counted on each lane within the last `w` ms, in one go over all that was counted: lanes are many.
    fn by_lane(&self, now: Ms, w: Ms, version: &str) -> BTreeMap<&Name, OutcomeCounts> {
        let mut lane: Vec<Option<&Name>> = vec![None; self.sums.len()];
        self.cells
            .iter()
            .filter(|(c, _)| &*c.0 == version)
            .for_each(|(c, n)| lane[*n as usize] = Some(&c.1));
        let mut all: BTreeMap<&Name, OutcomeCounts> = BTreeMap::new();
        self.rows(now, w, |n, c| {
            if let Some(l) = lane[n as usize] {
                let s = all.entry(l).or_default();
                *s = s.plus(c);
            }
        });
        all
    }
    /// Whether a version fails by itself, over all lanes or on one, with nothing to hold it against.
    pub fn fails(&self, version: &str, now: Ms) -> bool {
        let bad = |n: &OutcomeCounts| {
            n.failed >= MIN_FAILURES && n.failed * 100 >= n.ended * FAILURE_PERCENT_ALONE
        };
        HEALTH_WINDOWS.iter().any(|w| {
            let lanes = self.by_lane(now, *w, version);
            bad(&lanes
                .values()
                .fold(OutcomeCounts::default(), |sum, c| sum.plus(*c)))
                || lanes.values().any(bad)
        })
    }
    /// Whether what failed of `new` since the last restart is too little to judge it by and too much to trust it.
    pub fn is_suspicious(&self, new: &str, old: &str, now: Ms) -> bool {
        self.lanes(new).into_iter().any(|l| {
            let of = |v: &str| self.within(now, EVER, |c| &*c.0 == v && c.1 == *l);
            let (n, o) = (of(new), of(old));
            n.failed > 0 && higher(n.failures(), o.failures(), FAILURE_MARGIN_PERCENT)
        })
    }
    /// Judges `new` against `old`, lane by lane. Failures are compared over all caches, as a cold cache
    /// makes nothing fail; slowness only between caches of like warmth.
    pub fn judge(&self, new: &str, old: &str, now: Ms) -> Verdict {
        self.verdict(new, old, now, false)
    }
    /// The same over all since the last restart too, for whoever restarts it with each rollout.
    pub fn judge_all(&self, new: &str, old: &str, now: Ms) -> Verdict {
        self.verdict(new, old, now, true)
    }
    fn verdict(&self, new: &str, old: &str, now: Ms, ever: bool) -> Verdict {
        // Few failures on each of several lanes are many together; all on one lane are many there.
        let cells = std::iter::once(None).chain(self.lanes(new).into_iter().map(Some));
        for l in cells {
            let of = |w: Ms, v: &str, warm: Option<bool>| {
                self.within(now, w, |c| {
                    &*c.0 == v && l.is_none_or(|l| c.1 == *l) && warm.is_none_or(|x| x == c.2)
                })
            };
            let long = of(LONG_WINDOW, old, None);
            for w in HEALTH_WINDOWS.into_iter().chain(ever.then_some(EVER)) {
                let (n, o) = (of(w, new, None), of(w, old, None));
                // What befalls both versions in one window is no fault of the new one, nor is what the old one always has.
                if worse(n.failures(), o.failures()) && worse(n.failures(), long.failures()) {
                    return Verdict::Bad;
                }
            }
            for warm in [true, false] {
                let (n, o) = (
                    of(LONG_WINDOW, new, Some(warm)),
                    of(LONG_WINDOW, old, Some(warm)),
                );
                // Without a like cache on the other side nothing can be said about slowness.
                if o.ended >= MIN_FAILURES && worse((n.ended, n.slow), (o.ended, o.slow)) {
                    return Verdict::Bad;
                }
            }
        }
        Verdict::Fine
    }
}

/// Whether `n`'s rate of bad ends exceeds `o`'s by the margin, on enough of them.
fn worse(n: (u64, u64), o: (u64, u64)) -> bool {
    n.1 >= MIN_FAILURES && higher(n, o, FAILURE_MARGIN_PERCENT)
}
fn higher(n: (u64, u64), o: (u64, u64), margin: u64) -> bool {
    n.1 * 100 * o.0.max(1) > (o.1 * 100 + margin * o.0.max(1)) * n.0
}

#[cfg(test)]
mod tests;
