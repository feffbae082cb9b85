use googletest::prelude::*;

#[gtest]
fn every_fault_is_named_at_once_and_good_params_pass() {
    let c = || super::command("x", "x");
    let needs = ["name", "zone", "listen", "seeds", "members", "data"];
    let m = c().get_matches_from(["x", "--name", "a b", "--listen", "nowhere", "--seed", "127.0.0.1:1", "--member", "c1"]);
    let e = super::read(&m, &needs).unwrap_err().join("\n");
    for field in ["name:", "zone:", "listen:", "seeds:", "members:", "data:"] {
        expect_that!(e, contains_substring(field));
    }
    let mut args = vec!["x", "--name", "c1", "--zone", "z", "--listen", "127.0.0.1:1", "--data", "d"];
    args.extend(["--seed", "127.0.0.1:2", "--seed", "127.0.0.1:3", "--seed", "127.0.0.1:4"]);
    args.extend(["--member", "c1", "--member", "c2", "--member", "c3"]);
    expect_that!(super::read(&c().get_matches_from(args), &needs), ok(anything()));
    // Where the seeds found the system one to three of them will do, and no names.
    let founders = ["name", "zone", "listen", "founders", "data"];
    let mut p =
        super::Params { listen: "127.0.0.1:1".into(), bind: "127.0.0.1:1".into(), data: Some("d".into()), ..Default::default() };
    (p.name, p.zone, p.seeds) = ("c1".into(), "z".into(), vec!["127.0.0.1:2".into()]);
    expect_that!(super::check(&p, &founders), is_empty());
    p.seeds = vec![];
    expect_that!(super::check(&p, &founders), len(eq(1)));
    p.seeds = vec!["nowhere".into()];
    expect_that!(super::check(&p, &founders), len(eq(1)));
}
