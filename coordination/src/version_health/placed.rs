//! The verdict on a version that runs beside others for a short time: the sooner it falls the fewer meet it,
//! and yet a replica that crashes, or a cut, is no version's fault.

use super::{
    Cell, EVER, LOG_UNITS_PER_DOUBLING, LONG_WINDOW, SentCounts, Verdict, VersionHealth, higher,
};
use crate::{Ms, version_health::HEALTH_WINDOWS};

/// Standard deviations by which bad ends must exceed the others' rate: three where the others have none at all.
const FAILURE_SIGMA: f64 = 3.0;
/// Standard deviations from which on a version is doubted: it may stay and gets no more.
const SUSPICION_SIGMA: f64 = 1.0;
/// ms. Windows in which a version that is about to be completed may not be doubted, and for how long doubt may hold
/// it back: what has just turned bad is condemned sooner, and an order has its time.
const COMPLETION_WINDOWS: [Ms; 2] = [1_000, 2_000];
/// Percent besides by which that rate must be exceeded, on however many requests.
const PLACED_MARGIN_PERCENT: u64 = 3;
/// ms. Bad ends so close together may be one crash: streams end at once, edges tell of it within this.
const FAILURE_BURST: Ms = 800;
/// Bad ends by chance from which on some are expected beside a crash.
const RARE_FAILURES: f64 = 0.05;
/// Fewer bad ends than these are no burst: so few streams of one replica would not condemn a version either.
const MIN_BURST_FAILURES: u64 = 3;
/// Doublings of the mean time to a first piece that make a version slow: 2.2 times, where bad ones take several.
const SLOW_DOUBLINGS: f64 = 1.125 * LOG_UNITS_PER_DOUBLING;
/// First pieces on both sides before times are compared: a mean of so many is within a third of a doubling.
const MIN_FIRST_CHUNKS: u64 = 12;

/// Ended and bad of them.
type Rate = (u64, u64);

/// Whether `n`'s bad ends are more than chance makes of `o`'s rate, by so many standard deviations.
fn over(n: Rate, o: Rate, sigma: f64) -> bool {
    let p = o.1 as f64 / o.0.max(1) as f64;
    let all = n.0 as f64;
    // The one in the root lets no single end decide where nothing ever failed.
    (n.1 as f64 - all * p) / (all * p * (1.0 - p) + 1.0).sqrt() >= sigma
        && higher(n, o, PLACED_MARGIN_PERCENT)
}
fn unlike(n: Rate, o: Rate) -> bool {
    // Where some fail always, chance has more ways and is looked at more often.
    over(n, o, FAILURE_SIGMA + chance(n, o).min(1.0))
}
/// Bad ends that `o`'s rate alone makes among `n`.
fn chance(n: Rate, o: Rate) -> f64 {
    n.0 as f64 * o.1 as f64 / o.0.max(1) as f64
}

impl VersionHealth {
    /// Bad ends in the worst burst of the last `w` ms: a crash is one burst.
    fn burst(&self, now: Ms, w: Ms, f: impl Fn(&Cell) -> bool) -> u64 {
        let picked: std::collections::BTreeSet<u32> = self
            .cells
            .iter()
            .filter(|(c, _)| f(c))
            .map(|(_, n)| *n)
            .collect();
        let failed = |rows: &mut dyn Iterator<Item = (&u32, &super::OutcomeCounts)>| -> u64 {
            rows.filter(|(n, _)| picked.contains(n))
                .map(|(_, c)| c.failed)
                .sum()
        };
        // From where the window's counts begin, which is the last spell that ended before it.
        let from = self
            .windows
            .iter()
            .rposition(|(t, _)| now.saturating_sub(*t) >= w)
            .unwrap_or(0);
        let mut sum = 0;
        let mut sums: Vec<(Ms, u64)> = vec![];
        for (t, rows) in self.windows.iter().skip(from) {
            // What the first spell brought lies before all that is compared.
            sum += if sums.is_empty() {
                0
            } else {
                failed(&mut rows.iter().map(|(n, c)| (n, c)))
            };
            sums.push((*t, sum));
        }
        sums.push((now, sum + failed(&mut self.current_window.iter())));
        let bursts = sums.iter().enumerate().map(|(i, (t, n))| {
            let end = sums[i..]
                .iter()
                .take_while(|(u, _)| u - t <= FAILURE_BURST)
                .last()
                .map_or(*n, |l| l.1);
            end - n
        });
        bursts
            .max()
            .filter(|n| *n >= MIN_BURST_FAILURES)
            .unwrap_or(0)
    }

    /// Judges `new` against all other versions, over all lanes and on each. `even`: since when its replicas are
    /// as warm as the others'; times before that say nothing.
    pub fn judge_placed(&self, new: &str, even: Option<Ms>, now: Ms) -> Verdict {
        let cells = std::iter::once(None).chain(self.lanes(new).into_iter().map(Some));
        for l in cells {
            let on = |c: &Cell, mine: bool| (&*c.0 == new) == mine && l.is_none_or(|l| c.1 == *l);
            let long = self.within(now, LONG_WINDOW, |c| on(c, false)).failures();
            for w in HEALTH_WINDOWS {
                let all = self.within(now, w, |c| on(c, true));
                let n = all.failures();
                if n.1 == 0 {
                    continue;
                }
                let o = self.within(now, w, |c| on(c, false)).failures();
                // What befalls both in one window is no fault of the new one, nor is what the others always have.
                if !(unlike(n, o) && unlike(n, long)) {
                    continue;
                }
                // Nor is one crash, which ends all of a replica's streams together. Others that fail beside it tell,
                // or what failed at other times.
                let few = chance(n, long).max(chance(n, o));
                let more = if few > RARE_FAILURES {
                    few + 2.0 * few.sqrt() + 2.0
                } else {
                    0.0
                };
                if f64::from(all.failed_replicas.count_ones()) - 1.0 > more {
                    return Verdict::Bad;
                }
                let crash = self.burst(now, w, |c| on(c, true)).min(n.1);
                let rest = (n.0 - crash, n.1 - crash);
                if unlike(rest, o) && unlike(rest, long) {
                    return Verdict::Bad;
                }
            }
            let Some(w) = even.map(|t| now.saturating_sub(t).min(LONG_WINDOW)) else {
                continue;
            };
            for warm in [true, false] {
                let of = |mine| self.within(now, w, |c| on(c, mine) && c.2 == warm);
                let (n, o) = (of(true), of(false));
                if o.ended >= MIN_FIRST_CHUNKS && unlike((n.ended, n.slow), (o.ended, o.slow)) {
                    return Verdict::Bad;
                }
            }
        }
        match even.map(|t| now.saturating_sub(t).min(LONG_WINDOW)) {
            Some(w)
                if [true, false]
                    .into_iter()
                    .any(|warm| self.late(new, warm, w, now)) =>
            {
                Verdict::Bad
            }
            _ => Verdict::Fine,
        }
    }

    /// Whether `new`'s first pieces come late on a lane, or over all lanes. Each time is held against those of its own
    /// lane: caches that are new are cold for other prompts than those that are old, so that mixes of lanes differ.
    fn late(&self, new: &str, warm: bool, w: Ms, now: Ms) -> bool {
        let late = |(firsts, over): (u64, f64)| {
            firsts >= MIN_FIRST_CHUNKS && over >= SLOW_DOUBLINGS * firsts as f64
        };
        let (mut firsts, mut over) = (0, 0.0);
        for l in self.lanes(new) {
            let of = |mine: bool| {
                self.within(now, w, |c| {
                    (&*c.0 == new) == mine && c.1 == *l && c.2 == warm
                })
            };
            let (n, o) = (of(true), of(false));
            // Without a like cache on the other side nothing can be said about slowness.
            if n.first_chunks == 0 || o.first_chunks < MIN_FIRST_CHUNKS.min(n.first_chunks) {
                continue;
            }
            let mean = o.first_chunk_log_sum as f64 / o.first_chunks as f64;
            let more = n.first_chunk_log_sum as f64 - mean * n.first_chunks as f64;
            if o.first_chunks >= MIN_FIRST_CHUNKS && late((n.first_chunks, more)) {
                return true;
            }
            (firsts, over) = (firsts + n.first_chunks, over + more);
        }
        late((firsts, over))
    }

    /// Whether too little of `new` has failed to condemn it and too much to trust it.
    pub fn is_suspicious_placed(&self, new: &str, now: Ms) -> bool {
        self.lanes(new).into_iter().any(|l| {
            let on = |c: &Cell, mine: bool| (&*c.0 == new) == mine && c.1 == *l;
            let of = |mine: bool| self.within(now, LONG_WINDOW, |c| on(c, mine)).failures();
            let (n, o) = (of(true), of(false));
            let crash = if n.1 > 0 {
                self.burst(now, LONG_WINDOW, |c| on(c, true)).min(n.1)
            } else {
                0
            };
            over((n.0 - crash, n.1 - crash), o, SUSPICION_SIGMA)
        })
    }

    /// Whether `new` has failed just now more than the others do. What may be a crash counts too: a version that
    /// has just turned bad looks like one.
    pub fn just_failed(&self, new: &str, now: Ms) -> bool {
        self.lanes(new).into_iter().any(|l| {
            let of = |w: Ms, mine: bool| {
                self.within(now, w, |c| (&*c.0 == new) == mine && c.1 == *l)
                    .failures()
            };
            let others = of(LONG_WINDOW, false);
            COMPLETION_WINDOWS
                .into_iter()
                .any(|w| over(of(w, true), others, SUSPICION_SIGMA))
        })
    }

    /// Requests sent since this daemon counts.
    pub fn sent(&self, version: &str) -> SentCounts {
        let of = |mine: bool| -> u64 {
            let cells = self.cells.iter().filter(|(c, _)| !mine || &*c.0 == version);
            cells.map(|(_, n)| self.sums[*n as usize].sent).sum()
        };
        SentCounts {
            all: of(false),
            version: of(true),
        }
    }

    /// Requests a second that were lately sent to all versions.
    pub fn request_rate(&self, w: Ms, now: Ms) -> f64 {
        let seen = self
            .windows
            .front()
            .map_or(0, |(t, _)| now.saturating_sub(*t))
            .min(w);
        if seen == 0 {
            return 0.0;
        }
        self.within(now, w, |_| true).sent as f64 * 1_000.0 / seen as f64
    }

    /// Whether `new` ended enough on each lane that others met since the last restart.
    pub fn has_tried_all_lanes(&self, new: &str, enough: u64, now: Ms) -> bool {
        let mut lanes: Vec<_> = self.cells.keys().map(|c| &c.1).collect();
        lanes.sort_unstable();
        lanes.dedup();
        lanes.into_iter().all(|l| {
            let of = |mine: bool| {
                self.within(now, EVER, |c| (&*c.0 == new) == mine && c.1 == *l)
                    .ended
            };
            of(true) >= enough || of(false) == 0
        })
    }
}
