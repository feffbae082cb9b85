//! Checks a replica's stream line by line before anything is forwarded: it answers the very request, each chunk has the
//! very next number, and the end counts what came.

use remote_calls::{Fault, Outcome, ResumePoint, StreamEnd, StreamLine, StreamPiece, StreamStart};

use crate::rendezvous::text_digest;

/// What a line means for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedLine {
    /// Forward it.
    Forward(StreamLine),
    /// The end mark of a complete response: forward it, the attempt is over.
    End(StreamLine),
    /// No complete response will come; the line that tells the caller so.
    Broken(StreamLine),
}

/// The state of one stream.
#[derive(Clone, Debug)]
pub struct LineChecker {
    request: String,
    replica: String,
    /// The run that is read: a resume's own, else the one that the first line names.
    run: Option<String>,
    has_started: bool,
    /// The whole text, if it came from the first chunk on.
    text: Option<String>,
    next_chunk: u64,
    is_over: bool,
}

impl LineChecker {
    /// `resume`: the run that the caller resumes, and the last chunk that it already has.
    pub fn new(request: &str, replica: &str, resume: Option<&ResumePoint>) -> Self {
        let last_chunk = resume.map_or(0, |resume| resume.after);
        LineChecker {
            request: request.into(),
            replica: replica.into(),
            run: resume.map(|resume| resume.run.clone()),
            has_started: false,
            text: (last_chunk == 0).then(String::new),
            next_chunk: last_chunk + 1,
            is_over: false,
        }
    }

    /// Ends the stream as broken: whether the request ran to its end is unknown.
    pub fn broken(&mut self, code: &str, message: impl Into<String>) -> CheckedLine {
        self.is_over = true;
        let fault = Fault::new(code, "read_stream", message)
            .peer(self.replica.clone())
            .outcome(Outcome::Unknown);
        self.unknown(fault)
    }

    fn unknown(&self, fault: Fault) -> CheckedLine {
        let end = StreamEnd {
            outcome: Outcome::Unknown,
            pieces: self.next_chunk - 1,
            digest: None,
            fault: Some(fault),
        };
        CheckedLine::Broken(StreamLine {
            start: None,
            piece: None,
            end: Some(end),
        })
    }

    /// Whether the replica's digest is of another text. Of a resumed stream only the caller has the whole text.
    fn has_other_digest(&self, end: &StreamEnd) -> bool {
        matches!((&self.text, &end.digest), (Some(text), Some(digest)) if *digest != text_digest(text))
    }

    /// Checks the next line.
    pub fn check(&mut self, line: StreamLine) -> CheckedLine {
        if self.is_over {
            return self.broken("over", "the round has ended");
        }
        match (&line.start, &line.piece, &line.end) {
            (Some(start), None, None) => self
                .reject_start(start)
                .unwrap_or(CheckedLine::Forward(line)),
            _ if !self.has_started => {
                self.broken("bad_stream", "nothing told whose answer this is")
            }
            (None, Some(chunk), None) => self
                .reject_chunk(chunk)
                .unwrap_or(CheckedLine::Forward(line)),
            (None, None, Some(end)) => self.reject_end(end).unwrap_or(CheckedLine::End(line)),
            _ => self.broken("bad_stream", "the end mark does not count what came"),
        }
    }

    /// Takes the line that says whose response this is, or gives the line that ends the stream.
    fn reject_start(&mut self, start: &StreamStart) -> Option<CheckedLine> {
        let message = if self.has_started {
            "another answer began within this one"
        } else if start.request != self.request || start.replica != self.replica {
            "the answer is to another request"
        } else if self.run.as_ref().is_some_and(|run| *run != start.run) {
            // Chunks of two runs never make one response, whatever their numbers.
            "the replica went on with another run"
        } else {
            self.has_started = true;
            return None;
        };
        Some(self.broken("bad_stream", message))
    }

    /// Takes a chunk, or gives the line that ends the stream.
    fn reject_chunk(&mut self, chunk: &StreamPiece) -> Option<CheckedLine> {
        if chunk.n != self.next_chunk {
            let message = format!("piece {} came where {} was due", chunk.n, self.next_chunk);
            return Some(self.broken("bad_stream", message));
        }
        self.next_chunk += 1;
        if let Some(text) = &mut self.text {
            text.push_str(&chunk.text);
        }
        None
    }

    /// Takes the end mark of a complete response, or gives the line that ends the stream.
    fn reject_end(&mut self, end: &StreamEnd) -> Option<CheckedLine> {
        if end.outcome != Outcome::Answered {
            self.is_over = true;
            let fault = end.fault.clone().unwrap_or_else(|| {
                Fault::new("replica_failed", "read_stream", "the replica gave up")
            });
            let fault = fault.peer(self.replica.clone()).outcome(Outcome::Unknown);
            return Some(self.unknown(fault));
        }
        if self.has_other_digest(end) {
            let message = "what came is not what the replica says it sent";
            return Some(self.broken("bad_stream", message));
        }
        if end.pieces + 1 != self.next_chunk {
            let message = "the end mark does not count what came";
            return Some(self.broken("bad_stream", message));
        }
        self.is_over = true;
        None
    }
}

#[cfg(test)]
mod tests;
