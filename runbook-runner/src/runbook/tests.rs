use googletest::prelude::*;

use super::*;

#[gtest]
fn shipped_runbooks_are_valid_and_malformed_ones_name_line_and_reason() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/runbooks");
    let mut shipped = 0;
    for file in std::fs::read_dir(dir).unwrap() {
        let text = std::fs::read_to_string(file.unwrap().path()).unwrap();
        let runbook: Runbook = serde_json::from_str(&text).unwrap();
        let set = runbook
            .parameters
            .iter()
            .map(|name| (name.clone(), "x".to_string()))
            .collect();
        expect_that!(read(&text, &set), ok(anything()));
        shipped += 1;
    }
    expect_that!(shipped, ge(6));
    let none = BTreeMap::new();
    let bad = [
        ("{\"about\": \"\",\n\"steps\": []}", "line 2: has no step"),
        (
            "{\"about\": \"\",\n\"steps\": [\n{\"name\": \"a\"}]}",
            "line 3: step \"a\" must either call or wait",
        ),
        (
            "{\"about\": \"\",\n\"steps\": [\n{\"name\": \"a\", \"wait\": {\"members\": {\"live\": 3}}}]}",
            "line 3: step \"a\" needs within_s",
        ),
        (
            "{\"about\": \"\",\n\"steps\": [{\"name\": \"a\",\n\"call\": {\"reboot\": {}}}]}",
            "line 3: unknown variant `reboot`",
        ),
        (
            "{\"about\": \"\", \"takes\": [\"zone\"],\n\"steps\": []}",
            "line 1: needs --set zone",
        ),
    ];
    for (text, why) in bad {
        expect_that!(read(text, &none), err(starts_with(why)));
    }
}
