use googletest::prelude::*;
use wire_messages::Blob;

use super::*;

fn change(k: &str, epoch: u64, version: u64) -> Change {
    Change {
        key: k.into(),
        epoch,
        version,
        value: Blob(vec![epoch as u8, version as u8]),
    }
}

#[gtest]
fn copies_meet_whatever_the_order_and_never_go_back() {
    let all: Vec<_> = (0..40)
        .map(|i| change(&format!("k{}", i % 7), i / 9, i))
        .collect();
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut a, mut b) = (StateTable::default(), StateTable::default());
        let mut x = all.clone();
        rng.shuffle(&mut x);
        for c in &x[..20] {
            let old = a.get(&c.key).map(version_stamp);
            a.merge(c);
            expect_that!(a.get(&c.key).map(version_stamp), ge(old));
        }
        x[20..].iter().for_each(|c| {
            b.merge(c);
        });
        // One exchange of digests and ranges in each direction mends both.
        let d = a.differing_ranges(&b.range_digests());
        let (from_a, from_b) = (a.entries_in(&d), b.entries_in(&d));
        from_b.iter().for_each(|c| {
            a.merge(c);
        });
        from_a.iter().for_each(|c| {
            b.merge(c);
        });
        expect_that!(a.digest(), eq(b.digest()));
        expect_that!(a.differing_ranges(&b.range_digests()), is_empty());
    }
}
