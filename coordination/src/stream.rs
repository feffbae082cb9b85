//! Checks a replica's stream line by line, before anything is passed on: its own request, the very next
//! number, an end that counts what came.

use remote_calls::{Fault, Outcome, ResumePoint, StreamEnd, StreamLine};

use crate::rendezvous::text_digest;

/// What a line means for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedLine {
    /// Pass it on.
    Forward(StreamLine),
    /// The end mark, whole: pass it on, the round is over.
    End(StreamLine),
    /// No whole answer will come; the line that tells the caller so.
    Broken(StreamLine),
}

#[derive(Clone, Debug)]
pub struct LineChecker {
    request: String,
    replica: String,
    /// The run that is read: a resume's own, else the one that the first line names.
    run: Option<String>,
    begun: bool,
    /// All that came, if it came from the first piece on.
    text: Option<String>,
    next: u64,
    over: bool,
}

impl LineChecker {
    /// `resume`: the run that the caller goes on with, and the last piece that it already has.
    pub fn new(request: &str, replica: &str, resume: Option<&ResumePoint>) -> Self {
        let (run, after) = (resume.map(|r| r.run.clone()), resume.map_or(0, |r| r.after));
        LineChecker {
            request: request.into(),
            replica: replica.into(),
            run,
            begun: false,
            text: (after == 0).then(String::new),
            next: after + 1,
            over: false,
        }
    }

    pub fn broken(&mut self, code: &str, m: impl Into<String>) -> CheckedLine {
        self.over = true;
        let f = Fault::new(code, "read_stream", m)
            .peer(self.replica.clone())
            .outcome(Outcome::Unknown);
        self.unknown(f)
    }
    /// Whether the replica's digest tells of another text. Of a resumed stream only the caller has all.
    fn differs(&self, e: &StreamEnd) -> bool {
        matches!((&self.text, &e.digest), (Some(t), Some(d)) if *d != text_digest(t))
    }
    fn unknown(&self, f: Fault) -> CheckedLine {
        let end = StreamEnd {
            outcome: Outcome::Unknown,
            pieces: self.next - 1,
            digest: None,
            fault: Some(f),
        };
        CheckedLine::Broken(StreamLine {
            start: None,
            piece: None,
            end: Some(end),
        })
    }

    pub fn check(&mut self, l: StreamLine) -> CheckedLine {
        match (&l.start, &l.piece, &l.end) {
            _ if self.over => self.broken("over", "the round has ended"),
            (Some(_), None, None) if self.begun => {
                self.broken("bad_stream", "another answer began within this one")
            }
            (Some(s), None, None) if s.request != self.request || s.replica != self.replica => {
                self.broken("bad_stream", "the answer is to another request")
            }
            // Pieces of two runs never make one answer, whatever their numbers.
            (Some(s), None, None) if self.run.as_ref().is_some_and(|r| *r != s.run) => {
                self.broken("bad_stream", "the replica went on with another run")
            }
            (Some(_), None, None) => {
                self.begun = true;
                CheckedLine::Forward(l)
            }
            _ if !self.begun => self.broken("bad_stream", "nothing told whose answer this is"),
            (None, Some(p), None) if p.n == self.next => {
                self.next += 1;
                if let Some(t) = &mut self.text {
                    t.push_str(&p.text);
                }
                CheckedLine::Forward(l)
            }
            (None, Some(p), None) => {
                let m = format!("piece {} came where {} was due", p.n, self.next);
                self.broken("bad_stream", m)
            }
            (None, None, Some(e)) if e.outcome == Outcome::Answered && self.differs(e) => self
                .broken(
                    "bad_stream",
                    "what came is not what the replica says it sent",
                ),
            (None, None, Some(e))
                if e.outcome == Outcome::Answered && e.pieces + 1 == self.next =>
            {
                self.over = true;
                CheckedLine::End(l)
            }
            (None, None, Some(e)) if e.outcome != Outcome::Answered => {
                self.over = true;
                let f = e.fault.clone().unwrap_or_else(|| {
                    Fault::new("replica_failed", "read_stream", "the replica gave up")
                });
                self.unknown(f.peer(self.replica.clone()).outcome(Outcome::Unknown))
            }
            _ => self.broken("bad_stream", "the end mark does not count what came"),
        }
    }
}

#[cfg(test)]
mod tests;
