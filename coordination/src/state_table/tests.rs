use googletest::prelude::*;
use wire_messages::Blob;

use super::*;

fn change(key: &str, epoch: u64, version: u64) -> Change {
    Change {
        key: key.into(),
        epoch,
        version,
        value: Blob(vec![epoch as u8, version as u8]),
    }
}

fn merge_all(table: &mut StateTable, changes: &[Change]) {
    for change in changes {
        table.merge(change);
    }
}

#[gtest]
fn tables_converge_in_any_order_and_never_return_to_older_values() {
    let all: Vec<_> = (0..40)
        .map(|index| change(&format!("k{}", index % 7), index / 9, index))
        .collect();
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut first, mut second) = (StateTable::default(), StateTable::default());
        let mut shuffled = all.clone();
        rng.shuffle(&mut shuffled);
        for change in &shuffled[..20] {
            let before = first.get(&change.key).map(version_stamp);
            first.merge(change);
            expect_that!(first.get(&change.key).map(version_stamp), ge(before));
        }
        merge_all(&mut second, &shuffled[20..]);
        // One exchange of digests and differing ranges in each direction repairs both tables.
        let ranges = first.differing_ranges(&second.range_digests());
        let (from_first, from_second) = (first.entries_in(&ranges), second.entries_in(&ranges));
        merge_all(&mut first, &from_second);
        merge_all(&mut second, &from_first);
        expect_that!(first.digest(), eq(second.digest()));
        expect_that!(first.differing_ranges(&second.range_digests()), is_empty());
    }
}
