use googletest::prelude::*;

use super::*;

fn edges() -> Vec<Node> {
    (0..6)
        .map(|i| Node {
            name: format!("e{i}").into(),
            incarnation: 10 + i,
            ..Node::default()
        })
        .collect()
}

/// Every schedule of two rounds, a void and a holder's restart: one round at most runs, and none after
/// a void was told.
#[gtest]
fn at_most_one_round_runs_and_none_after_a_void() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let id: Name = mint_request_id(rng.u64(..), edges()).into();
        let names = holders(&id).unwrap();
        let mut nodes: BTreeMap<Name, (Node, ClaimGrants)> = edges()
            .into_iter()
            .map(|n| (n.name.clone(), (n, ClaimGrants::default())))
            .collect();
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
                node.incarnation += 100;
                *h = ClaimGrants::default();
            }
            let (node, h) = nodes.get_mut(&n).unwrap();
            let mut out = vec![];
            h.on_claim(
                node,
                &"p".into(),
                Claim {
                    token: 0,
                    request: id.clone(),
                    attempt: round,
                    void,
                    key_age_ms: 0,
                },
                5,
                &mut out,
            );
            let won = out.iter().any(
                |e| matches!(e, crate::Effect::Send { msg: wire_messages::Message::ClaimReply(c), .. } if c.state == GRANTED),
            );
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
        let mut held: Vec<ClaimGrants> = all.iter().map(|_| ClaimGrants::new(0)).collect();
        let mut won = 0;
        let first = 100_000;
        for round in 1..=3u64 {
            let now = first + round * 20_000;
            // Some holders restart between the tries.
            held.iter_mut()
                .filter(|_| rng.u8(..) < 40)
                .for_each(|h| *h = ClaimGrants::new(now - 1_000));
            let age = if round == 1 { 0 } else { now - first };
            let mut granted = 0;
            for (n, h) in all.iter().zip(&mut held).filter(|_| rng.u8(..) < 200) {
                let mut out = vec![];
                let c = Claim {
                    token: 0,
                    request: "k:mine".into(),
                    attempt: round,
                    void: 0,
                    key_age_ms: age,
                };
                h.on_claim(n, &"p".into(), c, now, &mut out);
                granted += usize::from(out.iter().any(
                    |e| matches!(e, crate::Effect::Send { msg: wire_messages::Message::ClaimReply(c), .. } if c.state == GRANTED),
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
    expect_that!(
        holders("0123456789abcdef~a.b.1f"),
        some(eq(&vec![("a.b".into(), 0x1f)]))
    );
}
