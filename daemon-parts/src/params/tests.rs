use coordination::policy::{Mechanism, Policy};
use googletest::prelude::*;

#[gtest]
fn all_invalid_settings_are_reported_at_once_and_valid_ones_pass() {
    let command = || super::command("x", "x");
    let needs = ["name", "zone", "listen", "seeds", "members", "data"];
    let matches = command().get_matches_from([
        "x",
        "--name",
        "a b",
        "--listen",
        "nowhere",
        "--seed",
        "127.0.0.1:1",
        "--member",
        "c1",
    ]);
    let errors = super::read(&matches, &needs).unwrap_err().join("\n");
    for field in ["name:", "zone:", "listen:", "seeds:", "members:", "data:"] {
        expect_that!(errors, contains_substring(field));
    }
    let mut args = vec![
        "x",
        "--name",
        "c1",
        "--zone",
        "z",
        "--listen",
        "127.0.0.1:1",
        "--data",
        "d",
    ];
    args.extend([
        "--seed",
        "127.0.0.1:2",
        "--seed",
        "127.0.0.1:3",
        "--seed",
        "127.0.0.1:4",
    ]);
    args.extend(["--member", "c1", "--member", "c2", "--member", "c3"]);
    expect_that!(
        super::read(&command().get_matches_from(args), &needs),
        ok(anything())
    );
    // If the seeds bootstrap the system, one to three of them suffice and no member names are needed.
    let founders = ["name", "zone", "listen", "founders", "data"];
    let mut params = super::Params {
        listen: "127.0.0.1:1".into(),
        bind: "127.0.0.1:1".into(),
        data: Some("d".into()),
        ..Default::default()
    };
    (params.name, params.zone, params.seeds) =
        ("c1".into(), "z".into(), vec!["127.0.0.1:2".into()]);
    expect_that!(super::check(&params, &founders), is_empty());
    params.seeds = vec![];
    expect_that!(super::check(&params, &founders), len(eq(1)));
    params.seeds = vec!["nowhere".into()];
    expect_that!(super::check(&params, &founders), len(eq(1)));
}

#[gtest]
fn an_unknown_mechanism_is_rejected_with_file_and_line() {
    let directory = std::env::temp_dir().join(format!("params-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("edge.json");
    let command = || super::command("x", "x").arg(super::without_flag());
    let read = |text: &str| {
        std::fs::write(&file, text).unwrap();
        super::read(
            &command().get_matches_from(["x", "--params", file.to_str().unwrap()]),
            &[],
        )
    };
    let bad = read("{\n  \"policy\": {\"without\": [\"doubt\",\n    \"luck\"]}\n}")
        .unwrap_err()
        .join("\n");
    expect_that!(bad, contains_substring("edge.json"));
    expect_that!(bad, contains_substring("line 3"));
    expect_that!(bad, contains_substring("\"luck\" is no mechanism"));
    let good = read("{\"policy\": {\"without\": [\"doubt\"]}}").unwrap();
    expect_that!(good.policy, eq(Policy::without([Mechanism::Doubt])));
    let flags = command().get_matches_from(["x", "--without", "lag,risk"]);
    expect_that!(
        super::read(&flags, &[]).unwrap().policy,
        eq(Policy::without([Mechanism::Lag, Mechanism::Risk]))
    );
    let error = command()
        .try_get_matches_from(["x", "--without", "luck"])
        .unwrap_err()
        .to_string();
    expect_that!(error, contains_substring("agreed_order"));
    std::fs::remove_dir_all(&directory).unwrap();
}
