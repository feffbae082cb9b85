//! Checkers of what callers were told of their own requests.

use std::collections::BTreeMap;

use super::Found;
use crate::history::{History, Ms, Told};

/// ms. A rejection that takes longer was held back.
const AT_ONCE: Ms = 1_500;
/// Rejections that no coming back would change: the request itself is wrong, or was given up for good.
const FOR_GOOD: [&str; 3] = ["bad_request", "wrong_zone", "voided"];

pub fn served(h: &History) -> Found {
    if h.told.iter().any(|t| t.outcome == "answered")
        || h.passes.iter().any(|p| p.how == "answered")
    {
        vec![]
    } else {
        vec!["nothing was answered".into()]
    }
}

/// What may run once: a request id, or all ids that came under one key of a caller.
fn once_names(h: &History) -> BTreeMap<&str, &str> {
    let once = h
        .told
        .iter()
        .filter(|t| t.run_once && !t.request.is_empty());
    once.map(|t| {
        (
            t.request.as_str(),
            if t.key.is_empty() {
                t.request.as_str()
            } else {
                t.key.as_str()
            },
        )
    })
    .collect()
}

pub fn run_once(h: &History) -> Found {
    let once = once_names(h);
    let mut n: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for r in &h.runs {
        if let Some(name) = once.get(r.request.as_str()) {
            n.entry(name).or_default().push(&r.run);
        }
    }
    n.iter()
        .filter(|(_, v)| v.len() > 1)
        .map(|(q, v)| format!("{q} ran as {v:?}"))
        .collect()
}

pub fn not_run(h: &History) -> Found {
    let once = once_names(h);
    let name = |q: &str| once.get(q).map_or(q.to_string(), |n| n.to_string());
    let ran: BTreeMap<String, &str> = h
        .runs
        .iter()
        .map(|r| (name(&r.request), r.run.as_str()))
        .collect();
    let told = h.told.iter().filter(|t| t.outcome == "not_run");
    told.filter_map(|t| {
        ran.get(&name(&t.request))
            .map(|r| format!("{} was told not run and ran as {r}", t.request))
    })
    .collect()
}

pub fn whole_answer(h: &History) -> Found {
    let runs: BTreeMap<&str, _> = h.runs.iter().map(|r| (r.run.as_str(), r)).collect();
    let wrong = |t: &&Told| match runs.get(t.run.as_str()) {
        Some(r) => r.request != t.request || r.digest != t.digest || !r.done || r.failed,
        None => true,
    };
    h.told
        .iter()
        .filter(|t| t.outcome == "answered")
        .filter(wrong)
        .map(|t| format!("{} got no whole answer of its own", t.request))
        .collect()
}

pub fn stream(h: &History) -> Found {
    let broken = |t: &&Told| {
        t.pieces.iter().enumerate().any(|(i, n)| *n != i as u64 + 1) || t.runs.len() > 1
    };
    h.told
        .iter()
        .filter(broken)
        .map(|t| {
            format!(
                "{} got pieces {:?} of runs {:?}",
                t.request, t.pieces, t.runs
            )
        })
        .collect()
}

/// What came by host and path and may not be repeated ran on one replica, whatever befell it.
pub fn pass_once(h: &History) -> Found {
    let mut n: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for r in h.runs.iter().filter(|r| h.once_lanes.contains(&r.lane)) {
        n.entry(&r.request).or_default().push(&r.run);
    }
    n.iter()
        .filter(|(_, v)| v.len() > 1)
        .map(|(q, v)| format!("{q} ran as {v:?}"))
        .collect()
}

/// A rejection is the final answer at once, with when to come back. Ways that lost their peer are not
/// rejections: nobody rejected them.
pub fn at_once(h: &History) -> Found {
    let stalled = |t: &Told| {
        h.stalls
            .iter()
            .any(|s| s.0 <= t.at_ms + t.ms && s.1 >= t.at_ms)
    };
    let rejected = h
        .told
        .iter()
        .filter(|t| (t.outcome == "not_run" || t.outcome == "rejected") && t.code != "unreachable");
    let slow = rejected.clone().filter(|t| t.ms > AT_ONCE && !stalled(t));
    let mut f: Found = slow
        .map(|t| format!("{} was rejected as {} after {} ms", t.request, t.code, t.ms))
        .collect();
    let mute =
        rejected.filter(|t| t.retry_after_ms.is_none() && !FOR_GOOD.contains(&t.code.as_str()));
    f.extend(mute.map(|t| {
        format!(
            "{} was rejected as {} without when to come back",
            t.request, t.code
        )
    }));
    f
}

#[cfg(test)]
mod tests;
