//! Checkers of the control state as edges honour it, and of its coming back after a loss.

use std::collections::{BTreeMap, BTreeSet};

use super::Found;
use crate::history::{History, Loss, Ms, Told};

/// ms. The brief's bound.
const HONOURED: Ms = 3_000;
const RETURN: Ms = 12_000;
/// ms. Requests asked in so long a time, before a loss and after the return, are compared; those just
/// before the loss were cut off by it.
const WINDOW: Ms = 8_000;
const CUT_OFF: Ms = 5_000;
/// Percent of the answered share before a loss that must be answered after the return.
const SHARE: usize = 80;
/// Requests below which a share says nothing.
const FEW: usize = 5;

pub fn spec(h: &History) -> Found {
    let mut f = vec![];
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    let dues: Vec<(Ms, u64)> = h
        .specs
        .iter()
        .map(|s| (h.due(s.0, HONOURED), s.1))
        .collect();
    for (t, edge, version, mark) in &h.seen {
        let old = last.insert(edge, *version).unwrap_or(0);
        if *version < old {
            f.push(format!(
                "{edge} slipped back from {old} to {version} at {t}"
            ));
        }
        let due = dues
            .iter()
            .filter(|d| d.0 < *t)
            .map(|d| d.1)
            .max()
            .unwrap_or(0);
        if *version < due {
            f.push(format!(
                "{edge} still honours {version} at {t}, {due} was due"
            ));
        }
        if let Some(s) = h.specs.iter().find(|s| s.1 == *version && s.2 != *mark) {
            f.push(format!(
                "{edge} has another spec {mark} under version {version}, accepted was {}",
                s.2
            ));
        }
        if h.refused.contains(mark) {
            f.push(format!(
                "{edge} honours spec {mark}, which was told not accepted"
            ));
        }
    }
    // One accepted spec a version: two winners of one compare-and-set are never told so.
    let mut by: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
    h.specs.iter().for_each(|s| {
        by.entry(s.1).or_default().insert(s.2);
    });
    f.extend(
        by.iter()
            .filter(|(_, m)| m.len() > 1)
            .map(|(v, m)| format!("version {v} was accepted as {m:?}")),
    );
    f
}

/// Plans, zones, warnings and all other keys: none goes back at an edge, over its restarts too, and what was
/// accepted is honoured in time by whoever serves.
pub fn keys(h: &History) -> Found {
    let mut f = vec![];
    let mut rows: BTreeMap<(&str, &str), Vec<(Ms, u64)>> = BTreeMap::new();
    for (t, edge, key, version) in &h.held {
        let v = rows.entry((edge, key)).or_default();
        if let Some((_, old)) = v.last().filter(|o| o.1 > *version) {
            f.push(format!(
                "{edge} slipped back from {old} to {version} of {key} at {t}"
            ));
        }
        v.push((*t, *version));
    }
    let mut serves: BTreeMap<&str, Vec<Ms>> = BTreeMap::new();
    h.seen
        .iter()
        .for_each(|(t, e, ..)| serves.entry(e).or_default().push(*t));
    for (at, key, version) in &h.accepted {
        let due = h.due(*at, HONOURED);
        for (edge, times) in &serves {
            // Once honoured it cannot slip back unseen, so the first look after it is due is enough.
            let Some(t) = times.get(times.partition_point(|t| *t <= due)) else {
                continue;
            };
            let held = rows
                .get(&(*edge, key.as_str()))
                .and_then(|v| v.iter().rev().find(|x| x.0 <= *t))
                .map_or(0, |x| x.1);
            if held < *version {
                f.push(format!(
                    "{edge} holds {held} of {key} at {t}, {version} was accepted at {at}"
                ));
            }
        }
    }
    f
}

/// A service's duty has one holder at a time, by every daemon's own clock.
pub fn one_holder(h: &History) -> Found {
    h.holders
        .iter()
        .map(|(t, v)| format!("{v:?} held one duty at {t}"))
        .collect()
}

/// Answered of asked, for the requests that `pick` takes.
fn share<'a>(h: &'a History, from: Ms, pick: impl Fn(&Told) -> bool + 'a) -> (usize, usize) {
    let all = h.told.iter().filter(|t| {
        t.at_ms >= from && t.at_ms < from + WINDOW && !t.repeat && !t.cut_short && pick(t)
    });
    all.fold((0, 0), |n, t| {
        (n.0 + usize::from(t.outcome == "answered"), n.1 + 1)
    })
}

fn returned(
    h: &History,
    l: &Loss,
    what: &str,
    pick: impl Fn(&Told) -> bool + Copy,
) -> Option<String> {
    let (b, a) = (
        share(h, l.from.saturating_sub(WINDOW + CUT_OFF), pick),
        share(h, l.up + RETURN, pick),
    );
    if b.1 < FEW || a.1 < FEW || a.0 * b.1 * 100 >= b.0 * a.1 * SHARE {
        return None;
    }
    Some(format!(
        "{what}: {} of {} answered after the loss that ended at {}, {} of {} before",
        a.0, a.1, l.up, b.0, b.1
    ))
}

/// After a loss every zone and every lane is served again in time, at a share of what it was before.
pub fn returns(h: &History) -> Found {
    let mut f = vec![];
    let zones: BTreeSet<&str> = h
        .told
        .iter()
        .filter_map(|t| t.homes.first().map(String::as_str))
        .collect();
    let lanes: BTreeSet<&str> = h.told.iter().map(|t| t.lane.as_str()).collect();
    for l in h.losses.iter().filter(|l| l.up + RETURN <= h.end_ms) {
        // A loss that struck again during the return has its own time to return in.
        if h.losses
            .iter()
            .any(|o| o.from > l.from && o.from < l.up + RETURN + WINDOW)
        {
            continue;
        }
        let back = |t: &&Told| {
            t.outcome == "answered" && t.at_ms >= l.up && t.at_ms + t.ms <= l.up + RETURN
        };
        if !h.told.iter().any(|t| back(&t)) {
            f.push(format!(
                "nothing was answered within {RETURN} ms after the loss that ended at {}",
                l.up
            ));
        }
        let other = h
            .disturbed
            .iter()
            .any(|d| d.0 < l.up + RETURN + WINDOW && d.1.saturating_add(WINDOW) > l.from);
        if other || l.up + RETURN + WINDOW + CUT_OFF > h.end_ms {
            continue;
        }
        f.extend(
            zones
                .iter()
                .filter_map(|z| returned(h, l, z, |t| t.homes.first().is_some_and(|x| x == z))),
        );
        f.extend(
            lanes
                .iter()
                .filter_map(|n| returned(h, l, n, |t| t.lane == *n)),
        );
    }
    f
}

#[cfg(test)]
mod tests;
