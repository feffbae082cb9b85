use coordination::policy::{Mechanism, Policy};
use googletest::prelude::*;

#[gtest]
fn every_fault_is_named_at_once_and_good_params_pass() {
    let c = || super::command("x", "x");
    let needs = ["name", "zone", "listen", "seeds", "members", "data"];
    let m = c().get_matches_from([
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
    let e = super::read(&m, &needs).unwrap_err().join("\n");
    for field in ["name:", "zone:", "listen:", "seeds:", "members:", "data:"] {
        expect_that!(e, contains_substring(field));
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
        super::read(&c().get_matches_from(args), &needs),
        ok(anything())
    );
    // Where the seeds found the system one to three of them will do, and no names.
    let founders = ["name", "zone", "listen", "founders", "data"];
    let mut p = super::Params {
        listen: "127.0.0.1:1".into(),
        bind: "127.0.0.1:1".into(),
        data: Some("d".into()),
        ..Default::default()
    };
    (p.name, p.zone, p.seeds) = ("c1".into(), "z".into(), vec!["127.0.0.1:2".into()]);
    expect_that!(super::check(&p, &founders), is_empty());
    p.seeds = vec![];
    expect_that!(super::check(&p, &founders), len(eq(1)));
    p.seeds = vec!["nowhere".into()];
    expect_that!(super::check(&p, &founders), len(eq(1)));
}

#[gtest]
fn a_mechanism_that_is_none_is_refused_with_file_and_line() {
    let folder = std::env::temp_dir().join(format!("params-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("edge.json");
    let c = || super::command("x", "x").arg(super::without_flag());
    let read = |text: &str| {
        std::fs::write(&file, text).unwrap();
        super::read(
            &c().get_matches_from(["x", "--params", file.to_str().unwrap()]),
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
    let flags = c().get_matches_from(["x", "--without", "lag,risk"]);
    expect_that!(
        super::read(&flags, &[]).unwrap().policy,
        eq(Policy::without([Mechanism::Lag, Mechanism::Risk]))
    );
    let wrong = c()
        .try_get_matches_from(["x", "--without", "luck"])
        .unwrap_err()
        .to_string();
    expect_that!(wrong, contains_substring("agreed_order"));
    std::fs::remove_dir_all(&folder).unwrap();
}
