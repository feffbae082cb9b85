//! Checkers of replicas that are ill and say otherwise: they get little, and work again once they are well.

use std::collections::BTreeSet;

use super::Found;
use crate::history::{History, Ms, Sick};

/// A replica's failures show once it has spoiled so many requests; so long after that it gets little.
const SHOWN: usize = 3;
const REACT: Ms = 2_000;
/// ms. A shorter time than this says nothing.
const LEAST: Ms = 4_000;
/// Percent of what an even share would have it spoil, and requests besides.
const SHARE: f64 = 50.0;
/// The same of one that is silent: that it failed shows only when its callers' time is over.
const SHARE_SILENT: f64 = 75.0;
const FEW: f64 = 5.0;
/// Others in its zone, below which nothing is expected: one alone is soon full.
const OTHERS: usize = 2;
/// ms. One that is well again gets work within this: its health is asked, it loads, and callers come.
const AGAIN: Ms = 12_000;
/// Runs of the others of its zone meanwhile, each, below which nothing can be expected of one.
const MUCH: usize = 12;

pub fn sick(h: &History) -> Found {
    h.sick.iter().filter_map(|s| one(h, s)).collect()
}

fn one(h: &History, s: &Sick) -> Option<String> {
    let mine = || {
        h.spoiled
            .iter()
            .filter(|x| x.1 == s.replica && x.0 >= s.from && x.0 < s.to)
    };
    let from = mine().nth(SHOWN - 1)?.0 + REACT;
    // One that left, or fell over, is another case.
    let over = h
        .leaving
        .iter()
        .filter(|l| l.1 == s.replica)
        .map(|l| l.0)
        .fold(s.to.min(h.end_ms), Ms::min);
    if over < from + LEAST {
        return None;
    }
    let got = mine().filter(|x| x.0 >= from && x.0 < over).count() as f64;
    let zone = h.runs.iter().filter(|r| {
        r.zone == s.zone && r.replica != s.replica && r.at_ms >= from && r.at_ms < over
    });
    let (runs, replicas) = zone.fold((0, BTreeSet::new()), |(n, mut v), r| {
        v.insert(&r.replica);
        (n + 1, v)
    });
    if replicas.len() < OTHERS {
        return None;
    }
    let even = f64::from(runs) / replicas.len() as f64 * s.percent as f64 / 100.0;
    let share = if s.silent { SHARE_SILENT } else { SHARE };
    (got > FEW + even * share / 100.0).then(|| {
        format!(
            "{} spoiled {got} requests from {from} to {over}, an even share would be {even:.0}",
            s.replica
        )
    })
}

/// Who is well again is used again.
pub fn well_again(h: &History) -> Found {
    let mut f = vec![];
    for (t, id) in &h.well_again {
        let later = h.well_again.iter().any(|o| o.1 == *id && o.0 > *t);
        let gone = h.leaving.iter().any(|l| l.1 == *id) || h.gone.contains(id);
        if later || gone || t + AGAIN > h.end_ms {
            continue;
        }
        let during = || {
            h.runs
                .iter()
                .filter(|r| r.at_ms >= *t && r.at_ms < t + AGAIN)
        };
        let Some(zone) = h.runs.iter().find(|r| r.replica == *id).map(|r| &r.zone) else {
            continue;
        };
        let beside: BTreeSet<&String> = during()
            .filter(|r| r.zone == *zone && r.replica != *id)
            .map(|r| &r.replica)
            .collect();
        let much = during()
            .filter(|r| r.zone == *zone && r.replica != *id)
            .count()
            > MUCH * beside.len();
        if much && beside.len() >= OTHERS && !during().any(|r| r.replica == *id) {
            f.push(format!(
                "{id} was well again at {t} and got nothing for {AGAIN} ms"
            ));
        }
    }
    f
}

#[cfg(test)]
mod tests;
