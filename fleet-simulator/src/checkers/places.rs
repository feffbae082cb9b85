//! Checkers of where work goes: replicas that leave or have come back cold, evacuated zones, homes.

use super::Found;
use crate::history::{History, Ms};

/// ms. The brief's bounds.
const LEAVING: Ms = 4_500;
const EVACUATED: Ms = 5_000;
/// ms. A cold replica may be given its places evenly over so long; the first two at once, as reports of
/// its first work are still under way.
const WARM_UP: Ms = 4_000;
const FIRST: u64 = 2;
/// A cold engine may get so many times what it bears in a second, and so many besides.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

pub fn leaving(h: &History) -> Found {
    let mut f = vec![];
    for (t, id) in &h.leaving {
        let due = h.due(*t, LEAVING);
        let late = h.runs.iter().filter(|r| r.replica == *id && r.at_ms > due);
        f.extend(
            late.map(|r| format!("{id} marked leaving at {t} got {} at {}", r.run, r.at_ms))
                .take(3),
        );
    }
    f
}

pub fn evacuated(h: &History) -> Found {
    let mut f = vec![];
    for z in h.zones.iter().filter(|z| z.evacuated) {
        // A restoring ends it, if it came later in the key's own order or may have.
        let later = |o: &&crate::history::ZoneWord| match (o.version, z.version) {
            (Some(o), Some(z)) => o > z,
            _ => o.at >= z.at,
        };
        let until = h
            .zones
            .iter()
            .filter(|o| o.zone == z.zone && !o.evacuated)
            .filter(later)
            .map(|o| o.at)
            .min();
        let until = until.unwrap_or(Ms::MAX);
        let due = h.due(z.at, EVACUATED);
        let late = h
            .runs
            .iter()
            .filter(|r| r.zone == z.zone && r.at_ms > due && r.at_ms < until);
        f.extend(
            late.map(|r| {
                format!(
                    "{} evacuated at {} got {} at {}",
                    z.zone, z.at, r.run, r.at_ms
                )
            })
            .take(3),
        );
    }
    f
}

/// The whole warm-up, over all proxies together.
pub fn cold(h: &History) -> Found {
    let mut f = vec![];
    for c in &h.cold {
        let mine: Vec<_> = h
            .runs
            .iter()
            .filter(|r| r.replica == c.replica && r.at_ms >= c.at && r.at_ms < c.at + WARM_UP)
            .filter(|r| c.version.as_ref().is_none_or(|v| *v == r.version))
            .collect();
        if let Some(per_s) = c.per_s {
            let in_one = |t: Ms| {
                mine.iter()
                    .filter(|o| o.at_ms >= t && o.at_ms < t + 1_000)
                    .count()
            };
            let most = mine.iter().map(|r| in_one(r.at_ms)).max().unwrap_or(0);
            if most as f64 > per_s * OVERSHOOT + SLACK {
                f.push(format!(
                    "{} began cold at {} and was sent {most} in a second, it bears {per_s}",
                    c.replica, c.at
                ));
            }
            continue;
        }
        for r in &mine {
            let at_once = mine
                .iter()
                .filter(|o| o.at_ms <= r.at_ms && o.end_ms.max(o.at_ms + 1) > r.at_ms)
                .count() as u64;
            let age = r.at_ms - c.at;
            let limit = FIRST + (u64::from(c.places) * age).div_ceil(WARM_UP);
            if at_once > limit {
                f.push(format!(
                    "{} began cold at {} and ran {at_once} at once {age} ms later, {limit} allowed",
                    c.replica, c.at
                ));
                break;
            }
        }
    }
    f
}

/// Served, carried and cached inside the homes only.
pub fn homes(h: &History) -> Found {
    let mut f: Found = h
        .runs
        .iter()
        .filter(|r| !r.homes.contains(&r.zone))
        .map(|r| format!("served: {} ran in {} outside {:?}", r.run, r.zone, r.homes))
        .collect();
    let carried = h
        .told
        .iter()
        .filter(|t| !t.proxy_zone.is_empty() && !t.homes.contains(&t.proxy_zone));
    f.extend(carried.map(|t| {
        format!(
            "carried: {} went through {} outside {:?}",
            t.request, t.proxy_zone, t.homes
        )
    }));
    let cached = h.cached.iter().filter(|c| !c.homes.contains(&c.zone));
    f.extend(cached.map(|c| {
        format!(
            "cached: {} lies in {} outside {:?}",
            c.prefix, c.zone, c.homes
        )
    }));
    f
}

#[cfg(test)]
mod tests;
