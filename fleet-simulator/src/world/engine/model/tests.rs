use googletest::prelude::*;

use super::*;

fn engine(slots: u32, cache_tokens: u64) -> Engine {
    let (step_ms, step_ms_per_slot, prompt_tokens_per_ms) = (5.0, 0.5, 50.0);
    let p = EngineParams {
        slots,
        waiting: 9,
        cache_tokens,
        step_ms,
        step_ms_per_slot,
        prompt_tokens_per_ms,
        ..Default::default()
    };
    Engine::new(EngineParams {
        piece_tokens: 1_000,
        event_tokens: 4,
        ..p
    })
}
fn job(id: u64, rank: u32, shared: PrefixBlock, own: u32) -> Job {
    Job {
        id,
        rank,
        parts: vec![shared, (id + 1_000, own)],
        events: 3,
    }
}
/// Runs until nothing is left: ms, shared tokens read, and the order in which requests ended.
fn run(e: &mut Engine) -> (f64, u64, Vec<u64>) {
    let (mut ms, mut read, mut ended) = (0.0, 0, vec![]);
    for _ in 0..10_000 {
        if e.idle() {
            break;
        }
        let (t, made) = e.step();
        assert!(
            e.used() <= e.params.cache_tokens,
            "{} of {}",
            e.used(),
            e.params.cache_tokens
        );
        ms += t;
        for m in made {
            match m {
                Made::Read { tokens, .. } => read += tokens,
                Made::Event { id, last: true, .. } => ended.push(id),
                Made::Event { .. } => {}
            }
        }
    }
    assert!(e.idle());
    (ms, read, ended)
}

#[gtest]
fn a_kept_part_is_not_read_again_and_the_longest_unused_gives_way() {
    let mut e = engine(4, 10_000);
    e.push(job(1, 0, (7, 4_000), 100));
    e.push(job(2, 0, (7, 4_000), 100));
    let (ms, read, _) = run(&mut e);
    expect_that!(read, eq(4_000));
    // 4,200 tokens at 50 a ms and steps for them and 9 tokens: the first event is a token of its own.
    expect_that!(ms, all!(gt(84.0 + 9.0 * 5.0), lt(84.0 + 20.0 * 6.0)));
    e.push(job(3, 0, (8, 4_000), 100));
    run(&mut e);
    e.push(job(4, 0, (7, 4_000), 100));
    expect_that!(run(&mut e).1, eq(0));
    e.push(job(5, 0, (9, 4_000), 100));
    run(&mut e);
    // Part 8 was unused for longest.
    e.push(job(6, 0, (7, 4_000), 100));
    expect_that!(run(&mut e).1, eq(0));
    e.push(job(7, 0, (8, 4_000), 100));
    expect_that!(run(&mut e).1, eq(4_000));
}

#[gtest]
fn the_urgent_go_first_and_what_memory_does_not_hold_is_put_back_and_ends_all_the_same() {
    let mut e = engine(1, 10_000);
    (1..=3).for_each(|i| assert!(e.push(job(i, 5 - i as u32, (7, 100), 100))));
    expect_that!(run(&mut e).2, eq(&vec![3, 2, 1]));
    let mut e = engine(4, 2_000);
    (1..=3).for_each(|i| assert!(e.push(job(i, i as u32, (i, 400), 400))));
    expect_that!(run(&mut e).2.len(), eq(3));
    expect_that!(e.put_back, gt(0));
    expect_false!(e.push(job(9, 0, (7, 1_500), 500)));
}

#[gtest]
fn a_full_batch_makes_each_token_slower() {
    let time = |n: u64| {
        let mut e = engine(64, 100_000);
        (0..n).for_each(|i| assert!(i > 8 || e.push(job(i, 0, (7, 10), 10))));
        run(&mut e).0
    };
    expect_that!(time(9), gt(time(1) * 1.3));
}
