//! A soak's report: a page for people, and everything as JSON.

use std::{collections::BTreeMap, fmt::Write as _};

use serde::Serialize;

use super::{
    checks::{Finding, is_read_while_cut},
    history::{End, Observed, ProgramRun, Usage},
};

/// A soak and what its checks found.
#[derive(Serialize)]
pub struct Report<'a> {
    pub observed: &'a Observed,
    pub findings: &'a [Finding],
    /// How to play it again.
    pub again: String,
    /// Where the processes' logs are.
    pub logs: String,
}

/// Sums that a page shows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Totals {
    pub seed: u64,
    pub processes: usize,
    pub requests: usize,
    pub answered: usize,
    pub refused: usize,
    pub cut: usize,
    pub troubles: usize,
    pub changes: usize,
    pub reads: usize,
    /// Of the configurations read, those that a control daemon told while it was cut off.
    pub reads_while_cut: usize,
    pub resolutions: usize,
    pub findings: usize,
}

pub fn totals(o: &Observed, findings: usize) -> Totals {
    let of = |f: fn(End) -> bool| o.tried.iter().filter(|t| f(t.end)).count();
    Totals {
        seed: o.seed,
        processes: o.processes,
        requests: o.tried.len(),
        answered: of(|e| matches!(e, End::Whole { status: 200 })),
        refused: of(|e| {
            matches!(
                e,
                End::Whole {
                    status: 408 | 421 | 429 | 503
                }
            )
        }),
        cut: of(|e| matches!(e, End::Cut { .. } | End::NoAnswer)),
        troubles: o.events.len(),
        changes: o.changes.len(),
        reads: o.reads.len(),
        reads_while_cut: o.reads.iter().filter(|r| is_read_while_cut(o, r)).count(),
        resolutions: o.directed.len(),
        findings,
    }
}

fn most(all: &[Usage], of: fn(&Usage) -> u64) -> u64 {
    all.iter().map(of).max().unwrap_or(0)
}

fn program_run(run: &ProgramRun) -> String {
    let until = run
        .until
        .map_or("the end".into(), |until| format!("{until} ms"));
    let ProgramRun {
        machine,
        program,
        from,
        ..
    } = run;
    format!("{machine}: `{program}` from {from} ms to {until}")
}

impl Report<'_> {
    /// A page in Markdown.
    pub fn page(&self) -> String {
        let o = self.observed;
        let t = totals(o, self.findings.len());
        let mut s = format!("# Soak, seed {}\n\n", o.seed);
        let mut row =
            |name: &str, value: String| writeln!(s, "- {name}: {value}").unwrap_or_default();
        row("processes", t.processes.to_string());
        row(
            "requests",
            format!(
                "{} ({} answered, {} refused, {} cut or unanswered)",
                t.requests, t.answered, t.refused, t.cut
            ),
        );
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        o.events
            .iter()
            .for_each(|e| *kinds.entry(format!("{:?}", e.trouble)).or_default() += 1);
        row("troubles of machines", format!("{kinds:?}"));
        row("replicas ended", o.replica_ends.len().to_string());
        row("changes of the configuration", t.changes.to_string());
        let releases: Vec<String> = o
            .releases
            .iter()
            .map(|r| format!("{} {:?}", r.version, r.end))
            .collect();
        row("releases", releases.join(", "));
        row(
            "configurations read, of these from a daemon that was cut off, answers of the directory",
            format!("{}, {}, {}", t.reads, t.reads_while_cut, t.resolutions),
        );
        let uses = |all: &[Usage]| {
            let memory = most(all, |u| u.memory_kb) >> 10;
            format!(
                "{memory} MB, {} descriptors, {} KB of disk",
                most(all, |u| u.descriptors),
                most(all, |u| u.disk) >> 10
            )
        };
        row(
            "largest process before and after",
            format!("{}; {}", uses(&o.usage_before), uses(&o.usage_after)),
        );
        row("play again", format!("`{}`", self.again));
        row("logs", self.logs.clone());
        if !o.program_runs.is_empty() {
            writeln!(s, "\n## Programs of machines\n").unwrap_or_default();
        }
        for run in &o.program_runs {
            writeln!(s, "- {}", program_run(run)).unwrap_or_default();
        }
        writeln!(s, "\n## Findings: {}\n", self.findings.len()).unwrap_or_default();
        for f in self.findings {
            writeln!(s, "- {} ({:?}): {}", f.check, f.basis, f.text).unwrap_or_default();
        }
        s
    }
}
