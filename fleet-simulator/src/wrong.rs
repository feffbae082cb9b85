//! Replicas whose streams are wrong, in the simulator and as stand-ins.

use remote_calls::{Outcome, StreamEnd, StreamLine, StreamPiece, StreamStart};
use serde::{Deserialize, Serialize};

/// How a replica's stream is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wrong {
    /// The connection ends half-way, without an end mark.
    Truncated,
    Repeats,
    Skips,
    Swaps,
    /// Two pieces come as one.
    Glues,
    /// Half-way another request's stream begins.
    Crosses,
    /// The end mark comes before the last piece.
    EndsEarly,
    /// Pieces come after the end mark.
    GoesOn,
    Garbage,
    /// Half-way nothing more comes.
    Stalls,
    /// A resume begins another run and numbers it on.
    Joins,
}

pub const WRONGS: [Wrong; 11] = [
    Wrong::Truncated,
    Wrong::Repeats,
    Wrong::Skips,
    Wrong::Swaps,
    Wrong::Glues,
    Wrong::Crosses,
    Wrong::EndsEarly,
    Wrong::GoesOn,
    Wrong::Garbage,
    Wrong::Stalls,
    Wrong::Joins,
];

pub fn piece_line(n: u64, text: &str) -> StreamLine {
    StreamLine {
        start: None,
        piece: Some(StreamPiece {
            n,
            text: text.into(),
        }),
        end: None,
    }
}
fn end_line(pieces: u64) -> StreamLine {
    let end = StreamEnd {
        outcome: Outcome::Answered,
        pieces,
        digest: None,
        fault: None,
    };
    StreamLine {
        start: None,
        piece: None,
        end: Some(end),
    }
}
fn other_start() -> StreamLine {
    let s = StreamStart {
        request: "another".into(),
        run: "another-run".into(),
        replica: "another".into(),
        version: "v1".into(),
        warm: false,
    };
    StreamLine {
        start: Some(s),
        piece: None,
        end: None,
    }
}

/// Turns one run's lines into what a replica that misbehaves sends in their place.
#[derive(Clone, Debug)]
pub struct Spoiler {
    wrong: Option<Wrong>,
    total: u64,
    /// A piece that is held back.
    kept: Option<StreamLine>,
}

impl Spoiler {
    /// `total`: the pieces that the run makes.
    pub fn new(wrong: Option<Wrong>, total: u64) -> Self {
        Spoiler {
            wrong,
            total,
            kept: None,
        }
    }

    /// `made`: pieces made by now; `over`: this is the end mark.
    pub fn lines(&mut self, made: u64, over: bool, l: StreamLine) -> Vec<StreamLine> {
        let half = made == self.total / 2 && !over;
        let past = made > self.total / 2 || over;
        match self.wrong {
            // The last piece before the gap; what follows never comes.
            Some(Wrong::Truncated | Wrong::Stalls) if past => vec![],
            Some(Wrong::Repeats) if half => vec![l.clone(), l],
            Some(Wrong::Skips) if half => vec![],
            Some(Wrong::Swaps | Wrong::Glues) if half => {
                self.kept = Some(l);
                vec![]
            }
            Some(Wrong::Swaps) if past => std::iter::once(l).chain(self.kept.take()).collect(),
            Some(Wrong::Glues) if past && self.kept.is_some() => {
                let text =
                    |l: &StreamLine| l.piece.as_ref().map_or(String::new(), |p| p.text.clone());
                let both = self.kept.take().map_or(String::new(), |k| text(&k)) + &text(&l);
                vec![piece_line(made - u64::from(!over), &both)]
            }
            Some(Wrong::Crosses) if half => vec![l, other_start()],
            Some(Wrong::EndsEarly) if half => vec![l, end_line(self.total)],
            Some(Wrong::GoesOn) if over => vec![l, piece_line(made + 1, "more")],
            Some(Wrong::Garbage) if half => vec![StreamLine {
                start: None,
                piece: None,
                end: None,
            }],
            _ => vec![l],
        }
    }
    /// Whether the connection is closed after what was sent by now.
    pub fn closes(&self, made: u64) -> bool {
        self.wrong == Some(Wrong::Truncated) && made >= self.total / 2
    }
}

#[cfg(test)]
mod tests;
