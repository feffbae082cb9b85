//! Claims of run-once requests. An id names three edges and each one's life; whoever wants to run the
//! request needs a majority of the three. A holder in a later life has forgotten and abstains. A majority
//! may also void an id, which is what makes "not run" an answer that stays true.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{Claim, ClaimAsk, ClaimTold, Claimed, Name, Node};

use crate::{
    Effects, Ms,
    effect::{note, send},
    events,
    limits::{CLAIM_GROUP, CLAIM_KEPT, CLAIM_LIMIT, KEY_MARGIN},
    order::agreed,
};

/// Answers to a claim, as on the wire.
pub const GRANTED: u8 = 0;
pub const TAKEN: u8 = 1;
pub const VOIDED: u8 = 2;
pub const ABSTAINS: u8 = 3;

/// Claims on a caller's own key begin with this.
pub const KEY: &str = "k:";

/// An edge and its life.
type Holder = (Name, u64);

/// A request id: random part, then `~name.born` for each holder.
pub fn mint(random: u64, edges: Vec<Node>) -> String {
    let key = format!("{random:016x}");
    let group = agreed(&key, edges, |n| &n.name).into_iter().take(CLAIM_GROUP);
    group.fold(key, |id, n| format!("{id}~{}.{:x}", n.name, n.born))
}

/// The holders an id names; none if it is no id of ours.
pub fn holders(id: &str) -> Option<Vec<Holder>> {
    let mut parts = id.split('~');
    let r = parts.next().filter(|r| r.len() == 16 && r.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u64::from_str_radix(r, 16).ok()?;
    let v: Option<Vec<Holder>> = parts
        .map(|p| {
            let (n, b) = p.rsplit_once('.')?;
            Some((n.into(), u64::from_str_radix(b, 16).ok()?))
        })
        .collect();
    v.filter(|v| !v.is_empty() && v.len() <= CLAIM_GROUP)
}

/// What this edge granted: request to (round, voided, when).
#[derive(Clone, Debug, Default)]
pub struct Holding {
    /// When this life began.
    began: Ms,
    rows: BTreeMap<Name, (u64, bool, Ms)>,
    ages: std::collections::VecDeque<(Ms, Name)>,
}

impl Holding {
    pub fn new(began: Ms) -> Self {
        Holding { began, ..Holding::default() }
    }

    /// `me`: this edge and its life.
    pub fn on_claim(&mut self, me: &Node, to: &Name, m: Claim, now: Ms, out: &mut Effects) {
        // A key names no holders. Its caller says how long ago it first used it, by its own clock: a holder
        // whose life is shorter than that may have forgotten a grant.
        let lived = now.saturating_sub(self.began);
        let named = if m.request.starts_with(KEY) {
            m.age == 0 || m.age + KEY_MARGIN < lived && m.age < CLAIM_KEPT
        } else {
            holders(&m.request).is_some_and(|h| h.iter().any(|(n, b)| *n == me.name && *b == me.born))
        };
        let state = if !named {
            out.push(note(events::CLAIM_ABSTAINED, to, m.request.to_string()));
            ABSTAINS
        } else {
            self.grant(&m, now)
        };
        out.push(send(to, Claimed { token: m.token, state }));
    }

    fn grant(&mut self, m: &Claim, now: Ms) -> u8 {
        while self.ages.front().is_some_and(|(t, _)| now.saturating_sub(*t) > CLAIM_KEPT) {
            if let Some((_, r)) = self.ages.pop_front() {
                self.rows.remove(&r);
            }
        }
        let void = m.void != 0;
        let Some((round, voided, _)) = self.rows.get_mut(&m.request) else {
            self.rows.insert(m.request.clone(), (m.round, void, now));
            self.ages.push_back((now, m.request.clone()));
            return GRANTED;
        };
        // The same round may turn its own claim into a void, as it knows that it has not run; never back.
        if *round == m.round && (void || !*voided) {
            *voided |= void;
            return GRANTED;
        }
        if *voided { VOIDED } else { TAKEN }
    }
}

#[derive(Clone, Debug)]
struct Asking {
    names: BTreeSet<Name>,
    need: usize,
    said: BTreeMap<Name, u8>,
    until: Ms,
    proxy: (Name, u64),
}

/// Claims under way for the local proxy.
#[derive(Clone, Debug, Default)]
pub struct Claimer {
    asking: BTreeMap<u64, Asking>,
    token: u64,
}

/// A claim that ended: whom to tell, its token, the state.
pub type Ended = (Name, u64, u8);

impl Claimer {
    /// Asks the id's holders, or every known edge for a caller's key. `edges`: all that are known, this one
    /// among them.
    pub fn ask(&mut self, proxy: &Name, m: &ClaimAsk, edges: &[Node], now: Ms, out: &mut Effects) {
        let proxy = (proxy.clone(), m.token);
        let by_key = m.request.starts_with(KEY);
        let all = || edges.iter().map(|n| (n.name.clone(), n.born)).collect();
        let h: Option<Vec<Holder>> = if by_key { Some(all()) } else { holders(&m.request) };
        let Some(h) = h.filter(|h| !h.is_empty()) else {
            out.push(send(&proxy.0, ClaimTold { token: proxy.1, state: ABSTAINS }));
            return;
        };
        self.token += 1;
        for (n, _) in &h {
            if let Some(e) = edges.iter().find(|e| e.name == *n) {
                let c = Claim { token: self.token, request: m.request.clone(), round: m.round, void: m.void, age: m.age };
                out.push(send(&e.addr, c));
            }
        }
        // A majority of three even where fewer edges were known when the id was minted: one of one would
        // be lost with that edge, which then abstains, and that is still safe.
        let need = h.len() / 2 + 1;
        let names = h.into_iter().map(|(n, _)| n).collect();
        self.asking.insert(self.token, Asking { names, need, said: BTreeMap::new(), until: now + CLAIM_LIMIT, proxy });
    }

    pub fn on_claimed(&mut self, from: &Name, m: Claimed) -> Option<Ended> {
        let a = self.asking.get_mut(&m.token)?;
        if a.names.contains(from) {
            a.said.insert(from.clone(), m.state);
        }
        let count = |s: u8| a.said.values().filter(|x| **x == s).count();
        let state = if count(GRANTED) >= a.need {
            GRANTED
        } else if count(VOIDED) >= a.need {
            VOIDED
        } else if a.said.len() < a.names.len() {
            return None;
        } else {
            undecided(a)
        };
        self.asking.remove(&m.token).map(|a| (a.proxy.0, a.proxy.1, state))
    }

    pub fn tick(&mut self, now: Ms) -> Vec<Ended> {
        let late: Vec<u64> = self.asking.iter().filter(|(_, a)| a.until <= now).map(|(t, _)| *t).collect();
        late.into_iter().filter_map(|t| self.asking.remove(&t)).map(|a| (a.proxy.0.clone(), a.proxy.1, undecided(&a))).collect()
    }
}

/// No majority: another round's claim is told, as that one may run.
fn undecided(a: &Asking) -> u8 {
    if a.said.values().any(|s| *s == TAKEN) { TAKEN } else { ABSTAINS }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn edges() -> Vec<Node> {
        (0..6).map(|i| Node { name: format!("e{i}").into(), born: 10 + i, ..Node::default() }).collect()
    }

    /// Every schedule of two rounds, a void and a holder's restart: one round at most runs, and none after
    /// a void was told.
    #[gtest]
    fn at_most_one_round_runs_and_none_after_a_void() {
        for seed in 0..2_000 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let id: Name = mint(rng.u64(..), edges()).into();
            let names = holders(&id).unwrap();
            let mut nodes: BTreeMap<Name, (Node, Holding)> =
                edges().into_iter().map(|n| (n.name.clone(), (n, Holding::default()))).collect();
            let mut asks: Vec<(u64, u8, Name)> = Vec::new();
            for (round, void) in [(1, 0), (2, 0), (3, 1)] {
                asks.extend(names.iter().map(|(n, _)| (round, void, n.clone())));
            }
            rng.shuffle(&mut asks);
            let mut granted: BTreeMap<u64, usize> = BTreeMap::new();
            for (round, void, n) in asks {
                if rng.u8(..) < 25 {
                    // The holder restarts: a new life that remembers nothing.
                    let (node, h) = nodes.get_mut(&n).unwrap();
                    node.born += 100;
                    *h = Holding::default();
                }
                let (node, h) = nodes.get_mut(&n).unwrap();
                let mut out = vec![];
                h.on_claim(node, &"p".into(), Claim { token: 0, request: id.clone(), round, void, age: 0 }, 5, &mut out);
                let won = out
                    .iter()
                    .any(|e| matches!(e, crate::Effect::Send { msg: wire_messages::Msg::Claimed(c), .. } if c.state == GRANTED));
                *granted.entry(round).or_default() += usize::from(won);
            }
            let winners = granted.values().filter(|n| **n >= 2).count();
            expect_that!(winners, le(1), "seed {seed}: {granted:?}");
        }
    }

    /// A key is claimed on a majority of all edges; one that lived shorter than the key's age abstains.
    #[gtest]
    fn a_key_runs_once_over_restarts_of_its_holders() {
        for seed in 0..2_000 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let all = edges();
            let mut held: Vec<Holding> = all.iter().map(|_| Holding::new(0)).collect();
            let mut won = 0;
            let first = 100_000;
            for round in 1..=3u64 {
                let now = first + round * 20_000;
                // Some holders restart between the tries.
                held.iter_mut().filter(|_| rng.u8(..) < 40).for_each(|h| *h = Holding::new(now - 1_000));
                let age = if round == 1 { 0 } else { now - first };
                let mut granted = 0;
                for (n, h) in all.iter().zip(&mut held).filter(|_| rng.u8(..) < 200) {
                    let mut out = vec![];
                    let c = Claim { token: 0, request: "k:mine".into(), round, void: 0, age };
                    h.on_claim(n, &"p".into(), c, now, &mut out);
                    granted += usize::from(out.iter().any(
                        |e| matches!(e, crate::Effect::Send { msg: wire_messages::Msg::Claimed(c), .. } if c.state == GRANTED),
                    ));
                }
                won += usize::from(granted > all.len() / 2);
            }
            expect_that!(won, le(1), "seed {seed}");
        }
    }

    #[gtest]
    fn strange_ids_name_no_holders() {
        for id in [
            "",
            "x",
            "0123456789abcdef",
            "0123456789abcdef~",
            "0123456789abcdef~e1",
            "0123456789abcdef~e1.zz",
            "0123456789abcdef~a.1~b.1~c.1~d.1",
        ] {
            expect_that!(holders(id), none());
        }
        expect_that!(holders("0123456789abcdef~a.b.1f"), some(eq(&vec![("a.b".into(), 0x1f)])));
    }
}
