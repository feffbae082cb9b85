//! One checker for each thing that must never happen. Each reads only a history; none passes on one in
//! which nothing was served.

mod load;
mod places;
mod placing;
mod requests;
mod sick;
mod state;
mod versions;

use crate::history::History;

/// A violation in words.
pub type Found = Vec<String>;
pub type Checker = (&'static str, fn(&History) -> Found);

pub const ALL: [Checker; 22] = [
    ("served", requests::served),
    ("run_once", requests::run_once),
    ("not_run", requests::not_run),
    ("whole_answer", requests::whole_answer),
    ("stream", requests::stream),
    ("at_once", requests::at_once),
    ("leaving", places::leaving),
    ("evacuated", places::evacuated),
    ("cold", places::cold),
    ("homes", places::homes),
    ("spec", state::spec),
    ("keys", state::keys),
    ("one_holder", state::one_holder),
    ("returns", state::returns),
    ("bad_version", versions::bad_version),
    ("exposure", placing::exposure),
    ("placing", placing::placing),
    ("rounds", load::rounds),
    ("tiers", load::tiers),
    ("sick", sick::sick),
    ("well_again", sick::well_again),
    ("pass_once", requests::pass_once),
];

/// All violations, each with its checker's name.
pub fn check(h: &History) -> Found {
    ALL.iter()
        .flat_map(|(n, f)| f(h).into_iter().map(move |v| format!("{n}: {v}")))
        .collect()
}

/// What the checkers' tests share: a history in which all is well, and a violation planted into it.
#[cfg(test)]
pub(crate) mod planted {
    use googletest::prelude::*;

    use super::check;
    use crate::history::{History, Run, Told};

    fn good() -> History {
        let run = Run {
            run: "r-1".into(),
            request: "q".into(),
            replica: "r".into(),
            zone: "a".into(),
            lane: "l".into(),
            version: "v".into(),
            homes: vec!["a".into()],
            done: true,
            digest: "d".into(),
            at_ms: 1_000,
            end_ms: 1_200,
            ..Run::default()
        };
        let told = Told {
            request: "q".into(),
            run: "r-1".into(),
            run_once: true,
            outcome: "answered".into(),
            digest: "d".into(),
            pieces: vec![1, 2],
            runs: vec!["r-1".into()],
            homes: vec!["a".into()],
            proxy_zone: "a".into(),
            at_ms: 900,
            ms: 400,
            ..Told::default()
        };
        History {
            told: vec![told],
            runs: vec![run],
            calls: 1,
            firsts: 1,
            asked: 1,
            end_ms: 60_000,
            ..History::default()
        }
    }

    /// Another run like the first, changed.
    pub fn again(h: &mut History, f: fn(&mut Run)) {
        let mut r = h.runs[0].clone();
        r.run = format!("r-{}", h.runs.len() + 1);
        f(&mut r);
        h.runs.push(r);
    }

    pub fn caught(name: &str, plant: impl Fn(&mut History)) {
        let mut h = good();
        expect_that!(check(&h), is_empty());
        plant(&mut h);
        let found = check(&h);
        expect_true!(
            found.iter().any(|f| f.starts_with(name)),
            "{name} is not caught: {found:?}"
        );
    }
}
