use std::collections::BTreeMap;

use googletest::prelude::*;
use wire_messages::{Claim, Message, Name, Node};

use super::{ClaimGrants, ClaimHolder, ClaimState, holders, mint_request_id};
use crate::Effect;

fn edges() -> Vec<Node> {
    (0..6)
        .map(|index| Node {
            name: format!("e{index}").into(),
            incarnation: 10 + index,
            ..Node::default()
        })
        .collect()
}

/// Returns whether the holder grants the claim.
fn grants(holder: &mut ClaimGrants, this_edge: &Node, claim: Claim, now: u64) -> bool {
    let mut effects = vec![];
    holder.on_claim(this_edge, &"p".into(), claim, now, &mut effects);
    effects.iter().any(|effect| {
        matches!(effect, Effect::Send { msg: Message::ClaimReply(reply), .. }
            if reply.state == ClaimState::Granted.to_byte())
    })
}

/// Random schedules of two attempts, a void and restarts of holders: at most one of the three gets
/// a majority, so no attempt runs once a void was reported.
#[gtest]
fn at_most_one_attempt_runs_and_none_after_a_void() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let id: Name = mint_request_id(rng.u64(..), edges()).into();
        let names = holders(&id).unwrap();
        let mut nodes: BTreeMap<Name, (Node, ClaimGrants)> = edges()
            .into_iter()
            .map(|node| (node.name.clone(), (node, ClaimGrants::default())))
            .collect();
        let mut claims: Vec<(u64, u8, Name)> = Vec::new();
        for (attempt, void) in [(1, 0), (2, 0), (3, 1)] {
            claims.extend(
                names
                    .iter()
                    .map(|holder| (attempt, void, holder.name.clone())),
            );
        }
        rng.shuffle(&mut claims);
        let mut granted: BTreeMap<u64, usize> = BTreeMap::new();
        for (attempt, void, name) in claims {
            let (node, holder) = nodes.get_mut(&name).unwrap();
            if rng.u8(..) < 25 {
                // The holder restarts in a new incarnation without its grants.
                node.incarnation += 100;
                *holder = ClaimGrants::default();
            }
            let claim = Claim {
                token: 0,
                request: id.clone(),
                attempt,
                void,
                key_age_ms: 0,
            };
            let is_granted = grants(holder, node, claim, 5);
            *granted.entry(attempt).or_default() += usize::from(is_granted);
        }
        let claims_with_majority = granted.values().filter(|count| **count >= 2).count();
        expect_that!(claims_with_majority, le(1), "seed {seed}: {granted:?}");
    }
}

/// Attempts claim a key on a majority of all edges, some of which restart between the attempts; an
/// edge that started after the key's first use must abstain, so that at most one attempt runs.
#[gtest]
fn a_key_runs_at_most_once_across_restarts_of_its_holders() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let all = edges();
        let mut holders: Vec<ClaimGrants> = all.iter().map(|_| ClaimGrants::new(0)).collect();
        let mut wins = 0;
        let first_used_at = 100_000;
        for attempt in 1..=3u64 {
            let now = first_used_at + attempt * 20_000;
            // Some holders restart between the attempts.
            for holder in &mut holders {
                if rng.u8(..) < 40 {
                    *holder = ClaimGrants::new(now - 1_000);
                }
            }
            let key_age_ms = if attempt == 1 { 0 } else { now - first_used_at };
            let mut granted = 0;
            for (node, holder) in all.iter().zip(&mut holders) {
                if rng.u8(..) >= 200 {
                    continue;
                }
                let claim = Claim {
                    token: 0,
                    request: "k:mine".into(),
                    attempt,
                    void: 0,
                    key_age_ms,
                };
                granted += usize::from(grants(holder, node, claim, now));
            }
            wins += usize::from(granted > all.len() / 2);
        }
        expect_that!(wins, le(1), "seed {seed}");
    }
}

#[gtest]
fn malformed_ids_name_no_holders() {
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
    let holder = ClaimHolder {
        name: "a.b".into(),
        incarnation: 0x1f,
    };
    expect_that!(holders("0123456789abcdef~a.b.1f"), some(eq(&vec![holder])));
}

#[gtest]
fn an_unknown_state_byte_decides_nothing() {
    for byte in 0..=u8::MAX {
        let state = ClaimState::from_byte(byte);
        expect_that!(state.to_byte(), eq(byte.min(3)), "byte {byte}");
    }
}
