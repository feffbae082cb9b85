//! Checks a replica's stream line by line before it is forwarded: the stream must answer this request, the chunks must
//! be numbered consecutively, and the end marker must match the number of chunks received.

use remote_calls::{Fault, Outcome, ResumePoint, StreamEnd, StreamLine, StreamPiece, StreamStart};

use crate::rendezvous::text_digest;

/// The result of checking a line.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedLine {
    /// Forward the line.
    Forward(StreamLine),
    /// Forward the end marker of a complete response; the attempt has ended.
    End(StreamLine),
    /// The response cannot be completed; forward this line, which reports that to the caller.
    Broken(StreamLine),
}

/// Checker of one stream.
#[derive(Clone, Debug)]
pub struct LineChecker {
    request: String,
    replica: String,
    /// The run that the caller resumes, if it does.
    run: Option<String>,
    has_started: bool,
    /// The whole text, if the stream starts with the first chunk.
    text: Option<String>,
    next_chunk: u64,
    has_ended: bool,
}

impl LineChecker {
    /// Creates a checker. `resume` names the run that the caller resumes and the last chunk that it received.
    pub fn new(request: &str, replica: &str, resume: Option<&ResumePoint>) -> Self {
        let last_chunk = resume.map_or(0, |resume| resume.after);
        LineChecker {
            request: request.into(),
            replica: replica.into(),
            run: resume.map(|resume| resume.run.clone()),
            has_started: false,
            text: (last_chunk == 0).then(String::new),
            next_chunk: last_chunk + 1,
            has_ended: false,
        }
    }

    /// Ends the stream as broken; whether the request ran to completion is unknown.
    pub fn broken(&mut self, code: &str, message: impl Into<String>) -> CheckedLine {
        self.has_ended = true;
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

    /// Whether the replica's digest differs from that of the received text. It is not checked for a resumed stream,
    /// whose whole text only the caller has.
    fn digest_differs(&self, end: &StreamEnd) -> bool {
        matches!((&self.text, &end.digest), (Some(text), Some(digest)) if *digest != text_digest(text))
    }

    /// Checks the next line.
    pub fn check(&mut self, line: StreamLine) -> CheckedLine {
        if self.has_ended {
            return self.broken("over", "a line follows the end marker");
        }
        match (&line.start, &line.piece, &line.end) {
            (Some(start), None, None) => self
                .reject_start(start)
                .unwrap_or(CheckedLine::Forward(line)),
            _ if !self.has_started => {
                self.broken("bad_stream", "the stream does not begin with a start line")
            }
            (None, Some(chunk), None) => self
                .reject_chunk(chunk)
                .unwrap_or(CheckedLine::Forward(line)),
            (None, None, Some(end)) => self.reject_end(end).unwrap_or(CheckedLine::End(line)),
            _ => self.broken(
                "bad_stream",
                "the line is not a start, a chunk or an end marker",
            ),
        }
    }

    /// Checks the start line, and returns the line that ends the stream if the start line is invalid.
    fn reject_start(&mut self, start: &StreamStart) -> Option<CheckedLine> {
        let message = if self.has_started {
            "another response started within this one"
        } else if start.request != self.request || start.replica != self.replica {
            "the response belongs to another request or replica"
        } else if self.run.as_ref().is_some_and(|run| *run != start.run) {
            // Chunks of two runs must not be joined to one response, even if their numbers are consecutive.
            "the replica continued with another run"
        } else {
            self.has_started = true;
            return None;
        };
        Some(self.broken("bad_stream", message))
    }

    /// Checks a chunk, and returns the line that ends the stream if the chunk is invalid.
    fn reject_chunk(&mut self, chunk: &StreamPiece) -> Option<CheckedLine> {
        if chunk.n != self.next_chunk {
            let message = format!(
                "received chunk {} instead of chunk {}",
                chunk.n, self.next_chunk
            );
            return Some(self.broken("bad_stream", message));
        }
        self.next_chunk += 1;
        if let Some(text) = &mut self.text {
            text.push_str(&chunk.text);
        }
        None
    }

    /// Checks the end marker, and returns the line that ends the stream if the response is not complete.
    fn reject_end(&mut self, end: &StreamEnd) -> Option<CheckedLine> {
        if end.outcome != Outcome::Answered {
            self.has_ended = true;
            let fault = end.fault.clone().unwrap_or_else(|| {
                Fault::new(
                    "replica_failed",
                    "read_stream",
                    "the replica aborted the request",
                )
            });
            let fault = fault.peer(self.replica.clone()).outcome(Outcome::Unknown);
            return Some(self.unknown(fault));
        }
        if self.digest_differs(end) {
            let message = "the digest of the received text differs from the replica's";
            return Some(self.broken("bad_stream", message));
        }
        if end.pieces + 1 != self.next_chunk {
            let message = "the end marker does not match the number of chunks received";
            return Some(self.broken("bad_stream", message));
        }
        self.has_ended = true;
        None
    }
}

#[cfg(test)]
mod tests;
