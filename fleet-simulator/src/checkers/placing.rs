//! The checkers of rollouts where the platform places versions: how much a bad one gets, and what becomes of the
//! replicas that the platform stops at its word.

use super::{Found, versions::shown};
use crate::history::{History, Ms};

/// The platform's own bounds: a part of the requests between an order and its time, and some besides; and ms
/// after so many bad answers.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
const ANSWERS: usize = 50;
const CUT: Ms = 5_000;
/// ms. A version whose failures showed so long before is not called completed: edges tell of them, the leader
/// withholds its record, the platform asks.
const REACT: Ms = 1_500;

pub fn exposure(h: &History) -> Found {
    let mut f = vec![];
    for (at, term, version) in h
        .orders
        .iter()
        .filter(|o| h.bad.iter().any(|b| b.version == o.2))
    {
        let mine = |r: &&crate::history::Run| r.version == *version;
        let during = || h.runs.iter().filter(|r| r.at_ms >= *at && r.at_ms < *term);
        let (bad, all) = (during().filter(mine).count(), during().count());
        if bad as f64 > SHARE * all as f64 + SLACK {
            f.push(format!(
                "bad {version} got {bad} of {all} between its order and its time"
            ));
        }
        // The platform stops the old replicas when it is told that the version is completed: there is nothing beside
        // it to turn to any more. Saying so must not have been wrong, by what was seen then; `bad_version` checks
        // that operators are told.
        let bad = h.bad.iter().filter(|b| b.version == *version);
        let next = h
            .orders
            .iter()
            .map(|o| o.0)
            .filter(|t| t > at)
            .min()
            .unwrap_or(Ms::MAX);
        if let Some((told, _)) = h.standings.iter().find(|s| s.1 && s.0 >= *at && s.0 < next) {
            let late = bad.filter_map(|b| shown(h, b)).find(|t| t + REACT <= *told);
            f.extend(late.map(|t| {
                format!("{version} was completed at {told} though its failures showed at {t}")
            }));
            continue;
        }
        let mut ends: Vec<Ms> = h
            .runs
            .iter()
            .filter(mine)
            .filter(|r| r.failed || r.slow)
            .map(|r| r.end_ms)
            .collect();
        ends.sort_unstable();
        let Some(t) = ends.get(ANSWERS - 1) else {
            continue;
        };
        let late = h.runs.iter().filter(mine).find(|r| r.at_ms > t + CUT);
        f.extend(late.map(|r| {
            format!(
                "{version} had {ANSWERS} bad answers at {t} and got {} at {}",
                r.run, r.at_ms
            )
        }));
    }
    f
}

pub fn placing(h: &History) -> Found {
    let mut f: Found = h
        .stopped
        .iter()
        .map(|(t, id)| format!("{id} was stopped at {t} while callers read from it"))
        .collect();
    if h.misplaced > 0 {
        f.push(format!(
            "{} orders to replicas that only the platform may place",
            h.misplaced
        ));
    }
    f
}

#[cfg(test)]
mod tests;
