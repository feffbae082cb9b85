//! A replica's engine: batches whose steps slow down as they fill, prompts read in pieces between the tokens of
//! others, parts of prompts that are kept for whoever sends them next.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{exchange::PrefixBlock, rendezvous::combine_hashes};
use serde::Deserialize;

/// What an engine can do.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EngineParams {
    /// Requests that run at once, and those that may wait.
    pub slots: u32,
    pub waiting: u32,
    /// Tokens that running requests and kept parts share.
    pub cache_tokens: u64,
    /// ms of a step, and more for each request in it.
    pub step_ms: f64,
    pub step_ms_per_slot: f64,
    /// Prompt tokens read in a ms, and most of them in one step.
    pub prompt_tokens_per_ms: f64,
    pub piece_tokens: u64,
    /// ms that a request is prepared for before it can run.
    pub first_ms: f64,
    /// Tokens in an event of a stream.
    pub event_tokens: u64,
}

/// A request for an engine. All parts of its prompt but the last may be shared.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub id: u64,
    pub rank: u32,
    pub parts: Vec<PrefixBlock>,
    pub events: u64,
}

#[derive(Clone, Debug)]
struct Work {
    job: Job,
    /// The order in which they came.
    came: u64,
    /// Shared parts that it holds, tokens of its own that it has read, tokens made.
    held: Vec<u64>,
    own: u64,
    made: u64,
    /// What of the part that is being read is read already.
    read: u64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u64,
    used: u64,
    depth: usize,
}

/// What a step brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Made {
    /// The nth event of a request; whether it is the last.
    Event { id: u64, n: u64, last: bool },
    /// A shared part was read, of so many tokens.
    Read { chain: u64, tokens: u64 },
}

#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub params: EngineParams,
    running: Vec<Work>,
    waiting: Vec<Work>,
    kept: BTreeMap<u64, Kept>,
    kept_sum: u64,
    seq: u64,
    /// Requests that were put back because memory ran out.
    pub put_back: u64,
}

/// Shared parts as they are kept: each behind all before it.
fn chains(parts: &[PrefixBlock]) -> Vec<(u64, u64)> {
    let shared = parts.split_last().map_or(&[][..], |s| s.1);
    let next = |at: &mut u64, p: &PrefixBlock| {
        *at = combine_hashes(*at, p.0);
        Some((*at, u64::from(p.1)))
    };
    shared.iter().scan(0, next).collect()
}

impl Work {
    fn of_own(&self) -> u64 {
        self.job.parts.last().map_or(0, |p| u64::from(p.1)) + self.made
    }
    fn holds(&self) -> u64 {
        self.own + if self.ready() { 0 } else { self.read }
    }
    /// Its whole prompt is read, and what it had made before it was put back.
    fn ready(&self) -> bool {
        self.held.len() + 1 >= self.job.parts.len() && self.own >= self.of_own()
    }
}

impl Engine {
    pub fn new(params: EngineParams) -> Self {
        Engine {
            params,
            ..Engine::default()
        }
    }

    /// Takes a request; false if it is full or the request larger than its memory.
    pub fn push(&mut self, job: Job) -> bool {
        let all = job.parts.iter().map(|p| u64::from(p.1)).sum::<u64>()
            + job.events * self.params.event_tokens;
        if self.waiting.len() >= self.params.waiting as usize || all > self.params.cache_tokens {
            return false;
        }
        self.seq += 1;
        let (came, held) = (self.seq, vec![]);
        self.waiting.push(Work {
            job,
            came,
            held,
            own: 0,
            made: 0,
            read: 0,
        });
        true
    }
    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|w| w.job.id != id);
        self.waiting.retain(|w| w.job.id != id);
    }
    pub fn idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }
    /// Requests running, waiting, and places.
    pub fn load(&self) -> (u32, u32, u32) {
        (
            self.running.len() as u32,
            self.waiting.len() as u32,
            self.params.slots,
        )
    }
    /// Tokens of kept parts, whether they are in use or not.
    pub fn kept_tokens(&self) -> u64 {
        self.kept_sum
    }
    fn used(&self) -> u64 {
        self.kept_tokens() + self.running.iter().map(Work::holds).sum::<u64>()
    }

    /// Makes room for so many tokens: kept parts that nobody holds give way, the longest unused first and of a chain
    /// its end; then the newest of the least urgent requests is put back, though not for one that is less urgent.
    fn room(&mut self, tokens: u64, rank: u32, came: u64) -> bool {
        while self.used() + tokens > self.params.cache_tokens {
            let held: BTreeSet<u64> = self
                .running
                .iter()
                .flat_map(|w| w.held.iter().copied())
                .collect();
            let free = self.kept.iter().filter(|(c, _)| !held.contains(c));
            if let Some(c) = free
                .min_by_key(|(_, k)| (k.used, std::cmp::Reverse(k.depth)))
                .map(|(c, _)| *c)
            {
                self.kept_sum -= self.kept.remove(&c).map_or(0, |k| k.tokens);
                continue;
            }
            let last = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, w)| (w.job.rank, w.came));
            let Some((i, w)) = last.filter(|(_, w)| (w.job.rank, w.came) > (rank, came)) else {
                return false;
            };
            let again = Work {
                held: vec![],
                own: 0,
                read: 0,
                ..w.clone()
            };
            self.running.remove(i);
            self.waiting.push(again);
            self.put_back += 1;
        }
        true
    }

    /// The most urgent that wait get in, in the place of less urgent ones that have made nothing yet.
    fn admit(&mut self) {
        while let Some(i) = (0..self.waiting.len())
            .min_by_key(|i| (self.waiting[*i].job.rank, self.waiting[*i].came))
        {
            if self.running.len() >= self.params.slots as usize {
                let rank = self.waiting[i].job.rank;
                let worst = (0..self.running.len())
                    .max_by_key(|i| (self.running[*i].job.rank, self.running[*i].came));
                let Some(w) = worst.filter(|w| self.running[*w].job.rank > rank) else {
                    return;
                };
                let old = self.running.remove(w);
                self.waiting.push(Work {
                    held: vec![],
                    own: 0,
                    read: 0,
                    ..old
                });
                self.put_back += 1;
            }
            let w = self.waiting.remove(i);
            self.running.push(w);
        }
    }

    /// One step: how many ms it takes, and what it has brought at its end.
    pub fn step(&mut self) -> (f64, Vec<Made>) {
        self.admit();
        self.seq += 1;
        let mut made = vec![];
        let mut ms = self.params.step_ms;
        let ids: Vec<u64> = self
            .running
            .iter()
            .filter(|w| w.ready())
            .map(|w| w.job.id)
            .collect();
        ms += self.params.step_ms_per_slot * ids.len() as f64;
        let piece = self.read(&mut made);
        ms += piece as f64 / self.params.prompt_tokens_per_ms;
        let each = self.params.event_tokens;
        for id in ids {
            let of = |w: &&mut Work| w.job.id == id;
            let Some((rank, came)) = self
                .running
                .iter()
                .find(|w| w.job.id == id)
                .map(|w| (w.job.rank, w.came))
            else {
                continue;
            };
            if !self.room(1, rank, came) {
                continue;
            }
            let Some(w) = self.running.iter_mut().find(of) else {
                continue;
            };
            (w.made, w.own) = (w.made + 1, w.own + 1);
            // The first token is an event of its own; later ones come a few together.
            if (w.made - 1) % each == 0 {
                let n = (w.made - 1) / each + 1;
                made.push(Made::Event {
                    id,
                    n,
                    last: n >= w.job.events,
                });
            }
        }
        let over: Vec<u64> = made
            .iter()
            .filter_map(|m| {
                if let Made::Event { id, last: true, .. } = m {
                    Some(*id)
                } else {
                    None
                }
            })
            .collect();
        self.running.retain(|w| !over.contains(&w.job.id));
        (ms, made)
    }

    /// Reads a piece of the prompts that wait to be read, the most urgent first; gives its tokens.
    fn read(&mut self, made: &mut Vec<Made>) -> u64 {
        let mut left = self.params.piece_tokens;
        let mut order: Vec<(u32, u64, u64)> = self
            .running
            .iter()
            .filter(|w| !w.ready())
            .map(|w| (w.job.rank, w.came, w.job.id))
            .collect();
        order.sort_unstable();
        for (rank, came, id) in order {
            while left > 0 {
                let Some(i) = self
                    .running
                    .iter()
                    .position(|w| w.job.id == id && !w.ready())
                else {
                    break;
                };
                let (w, now) = (&self.running[i], self.seq);
                let next = chains(&w.job.parts).get(w.held.len()).copied();
                // Somebody else has read it, perhaps only just: it is held and not read.
                if let Some((chain, _)) = next.filter(|n| self.kept.contains_key(&n.0)) {
                    self.kept.entry(chain).and_modify(|k| k.used = now);
                    let w = &mut self.running[i];
                    w.held.push(chain);
                    w.read = 0;
                    continue;
                }
                let (own, read) = (w.own, w.read);
                let want = next.map_or(w.of_own() - own, |n| n.1 - read);
                let n = want.min(left);
                if n > 0 && !self.room(n, rank, came) {
                    return self.params.piece_tokens - left;
                }
                let Some(w) = self.running.iter_mut().find(|w| w.job.id == id) else {
                    break;
                };
                left -= n;
                match next {
                    None => w.own += n,
                    Some(_) if n < want => w.read += n,
                    Some((chain, tokens)) => {
                        w.read = 0;
                        w.held.push(chain);
                        let depth = w.held.len();
                        self.kept_sum += tokens;
                        self.kept.insert(
                            chain,
                            Kept {
                                tokens,
                                used: now,
                                depth,
                            },
                        );
                        made.push(Made::Read { chain, tokens });
                    }
                }
            }
        }
        self.params.piece_tokens - left
    }
}

#[cfg(test)]
mod tests;
