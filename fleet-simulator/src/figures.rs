//! Figures of runs: what callers and operators saw, as samples that may be put together over many seeds.

use std::collections::BTreeMap;

use crate::{
    history::{History, Ms, Told},
    world::SAMPLE,
};

/// Samples by what they measure.
#[derive(Clone, Debug, Default)]
pub struct Figures(BTreeMap<String, Vec<f64>>);

impl Figures {
    fn add(&mut self, what: impl Into<String>, x: f64) {
        self.0.entry(what.into()).or_default().push(x);
    }
    /// A share in percent; none of nothing says nothing.
    fn share(&mut self, what: impl Into<String>, n: usize, of: usize) {
        if of > 0 {
            self.add(what, 100.0 * n as f64 / of as f64);
        }
    }
    pub fn join(&mut self, other: Figures) {
        other
            .0
            .into_iter()
            .for_each(|(k, mut v)| self.0.entry(k).or_default().append(&mut v));
    }
    /// Mean, least, most and count of a figure; the reason if there is none.
    pub fn of(&self, what: &str) -> Result<(f64, f64, f64, usize), String> {
        let v = self
            .0
            .get(what)
            .filter(|v| !v.is_empty())
            .ok_or(format!("{what}: no samples"))?;
        let (lo, hi) = v
            .iter()
            .fold((f64::MAX, f64::MIN), |(a, b), x| (a.min(*x), b.max(*x)));
        Ok((v.iter().sum::<f64>() / v.len() as f64, lo, hi, v.len()))
    }
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.0.keys()
    }

    /// The figures of one run.
    pub fn from(h: &History) -> Self {
        let mut f = Figures::default();
        f.callers(h);
        f.bounds(h);
        f.engines(h);
        for (kind, n) in h
            .messages
            .iter()
            .filter(|_| h.processes > 0 && h.end_ms > 0)
        {
            let each = *n as f64 * 1_000.0 / (h.end_ms * h.processes) as f64;
            f.add(format!("messages a second from each process: {kind}"), each);
        }
        if h.asked > 0 {
            f.share(
                "second rounds, % of requests",
                (h.calls - h.firsts) as usize,
                h.asked as usize,
            );
        }
        f
    }

    fn callers(&mut self, h: &History) {
        let mut rows: BTreeMap<(&str, &str), Vec<&Told>> = BTreeMap::new();
        // Repeats, and what the end of the run cut off, say nothing of how a fleet serves.
        let own = |t: &&Told| !t.repeat && !t.cut_short && t.code != "wrong_zone";
        h.told
            .iter()
            .filter(own)
            .for_each(|t| rows.entry((&t.lane, &t.tier)).or_default().push(t));
        for ((lane, tier), v) in &rows {
            self.share(
                format!("{lane} of {tier}: in time, %"),
                v.iter().filter(|t| t.in_time).count(),
                v.len(),
            );
            let unknown = v
                .iter()
                .filter(|t| t.outcome == "unknown" && t.code != "claimed")
                .count();
            self.share(format!("{lane} of {tier}: unknown, %"), unknown, v.len());
            let rejected = v
                .iter()
                .filter(|t| t.outcome == "rejected" || t.outcome == "not_run")
                .count();
            self.share(format!("{lane} of {tier}: rejected, %"), rejected, v.len());
        }
        let short = |t: &&Told| t.lane == h.capacity.short_lane && !t.run.is_empty();
        let ran: Vec<&Told> = h.told.iter().filter(own).filter(short).collect();
        self.share(
            "prefix was in the cache, %",
            ran.iter().filter(|t| t.warm).count(),
            ran.len(),
        );
        let mut seen = std::collections::BTreeSet::new();
        let again = h.cached.iter().filter(|c| !seen.insert(&c.prefix)).count();
        self.add("prefixes cached more than once", again as f64);
    }

    /// First pieces, what was served, and what engines read and kept.
    fn engines(&mut self, h: &History) {
        if h.passes.is_empty() {
            return;
        }
        let lanes: std::collections::BTreeSet<&str> =
            h.passes.iter().map(|p| p.lane.as_str()).collect();
        // What the end of the run cut off is not among them; what came before the first spec was honoured counts.
        for lane in lanes {
            let mine: Vec<_> = h.passes.iter().filter(|p| p.lane == lane).collect();
            for (near, name) in [(true, "near"), (false, "distant")] {
                let mut firsts: Vec<Ms> = mine
                    .iter()
                    .filter(|p| p.near == near)
                    .filter_map(|p| p.first)
                    .collect();
                firsts.sort_unstable();
                for (part, of) in [("p50", 50), ("p95", 95)] {
                    let at = firsts.get(firsts.len() * of / 100).map(|x| *x as f64);
                    self.0
                        .entry(format!("engine {lane}, {name}: ms to first piece, {part}"))
                        .or_default()
                        .extend(at);
                }
                self.share(
                    format!("engine {lane}: {name}, %"),
                    firsts.len(),
                    mine.iter().filter(|p| p.first.is_some()).count(),
                );
            }
            let served = mine.iter().filter(|p| p.how == "answered").count();
            let aim = mine
                .iter()
                .filter(|p| p.how == "answered" && p.first.is_some_and(|f| f <= p.aim))
                .count();
            self.share(format!("engine {lane}: served, %"), served, mine.len());
            self.share(
                format!("engine {lane}: served inside its aim, %"),
                aim,
                mine.len(),
            );
        }
        let asked: u64 = h.passes.iter().map(|p| u64::from(p.shared_tokens)).sum();
        self.add("engine: shared tokens asked, thousands", asked as f64 / 1e3);
        self.add(
            "engine: shared tokens read first, thousands",
            h.shared_read as f64 / 1e3,
        );
        self.add(
            "engine: shared tokens read again, thousands",
            h.shared_again as f64 / 1e3,
        );
        self.share(
            "engine: channels opened, % of requests",
            h.opened as usize,
            h.passes.len(),
        );
        self.share(
            "engine: shared tokens read again, % of asked",
            h.shared_again as usize,
            asked as usize,
        );
        self.0
            .entry("engine: tokens kept, thousands".into())
            .or_default()
            .extend(h.kept_tokens.iter().map(|n| *n as f64 / 1e3));
        self.add("engine: requests put back", h.put_back as f64);
    }

    /// How long after each word the last request went where it should not.
    fn bounds(&mut self, h: &History) {
        for s in &h.specs {
            self.0
                .entry("spec: ms to honoured at every edge".into())
                .or_default()
                .extend(honoured(h, s));
        }
        for (t, id) in &h.leaving {
            let last = h
                .runs
                .iter()
                .filter(|r| r.replica == *id && r.at_ms >= *t)
                .map(|r| r.at_ms - t)
                .max();
            self.add("leaving: ms to its last request", last.unwrap_or(0) as f64);
        }
        for z in h
            .zones
            .iter()
            .filter(|z| z.evacuated && z.version.is_some())
        {
            let end = h
                .zones
                .iter()
                .filter(|o| !o.evacuated && o.zone == z.zone && o.at > z.at)
                .map(|o| o.at)
                .min();
            let here = h.runs.iter().filter(|r| {
                r.zone == z.zone && r.at_ms >= z.at && r.at_ms < end.unwrap_or(Ms::MAX)
            });
            self.add(
                "evacuated: ms to its last request",
                here.map(|r| r.at_ms - z.at).max().unwrap_or(0) as f64,
            );
        }
        for b in &h.bad {
            let of: Vec<_> = h.runs.iter().filter(|r| r.version == b.version).collect();
            let (Some(first), Some(last)) = (of.first(), of.last()) else {
                continue;
            };
            let during = h
                .runs
                .iter()
                .filter(|r| r.at_ms >= first.at_ms && r.at_ms <= last.at_ms)
                .count();
            self.share(
                "bad version: % of the service from first to last",
                of.len(),
                during,
            );
            let bad = of
                .iter()
                .filter(|r| (r.failed || r.slow) && r.at_ms >= b.at)
                .map(|r| r.end_ms)
                .min();
            self.0
                .entry("bad version: ms from first failure to last request".into())
                .or_default()
                .extend(bad.map(|t| last.at_ms.saturating_sub(t) as f64));
        }
        for l in &h.losses {
            for (zone, _) in &h.capacity.places {
                let back = |t: &&Told| {
                    t.outcome == "answered" && t.at_ms >= l.up && t.homes.first() == Some(zone)
                };
                let first = h
                    .told
                    .iter()
                    .filter(back)
                    .map(|t| t.at_ms + t.ms - l.up)
                    .min();
                self.0
                    .entry(format!("loss: ms to the first answer in {zone}"))
                    .or_default()
                    .extend(first.map(|x| x as f64));
            }
        }
    }
}

/// How long after its acceptance every serving edge honoured a spec; none if a newer one came first.
fn honoured(h: &History, (t, v, _): &(Ms, u64, u64)) -> Option<f64> {
    let next = h
        .specs
        .iter()
        .filter(|s| s.1 > *v)
        .map(|s| s.0)
        .min()
        .unwrap_or(h.end_ms);
    let late = h
        .seen
        .iter()
        .filter(|s| s.0 >= *t && s.0 < next && s.2 < *v)
        .map(|s| s.0)
        .max();
    let seen = h.seen.iter().any(|s| s.0 >= *t && s.0 < next && s.2 >= *v);
    seen.then(|| late.map_or(0, |l| l + SAMPLE - t) as f64)
}

#[cfg(test)]
mod tests;
