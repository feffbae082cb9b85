use googletest::prelude::*;

use super::*;

fn spec(edit: impl FnOnce(&mut serde_json::Value)) -> Spec {
    let mut document = serde_json::json!({
        "zones": [{"name": "bern"}], "tiers": [{"name": "gold", "rank": 0, "keep_free": 0}],
        "services": [{"name": "desk", "version": "v1", "mode": "reconcile",
            "lanes": [{"name": "chat", "time_limit_ms": 25000, "expected_ms": 3000}],
            "zones": [{"zone": "bern", "replicas": 2, "floor": 1}]}],
        "canary_percent": 10, "bake_ms": 5000});
    edit(&mut document);
    serde_json::from_value(document).unwrap()
}

#[gtest]
fn a_whole_spec_passes_and_each_fault_names_its_field() {
    expect_that!(check(&spec(|_| ())), ok(anything()));
    let cases: [(&str, serde_json::Value, &str); 7] = [
        ("/canary_percent", 11.into(), "canary_percent"),
        ("/services/0/name", "a b".into(), "services[0].name"),
        (
            "/services/0/zones/0/zone",
            "basel".into(),
            "services[0].zones[0].zone",
        ),
        (
            "/services/0/zones/0/replicas",
            0.into(),
            "services[0].zones[0].replicas",
        ),
        (
            "/services/0/zones/0/floor",
            3.into(),
            "services[0].zones[0].floor",
        ),
        (
            "/services/0/lanes/0/expected_ms",
            26000.into(),
            "services[0].lanes[0].expected_ms",
        ),
        ("/tiers", serde_json::json!([]), "tiers"),
    ];
    // Copies of shared context are bounded by what a replica keeps.
    let context = |keeps: u64, share: u32| {
        spec(|document| {
            document["services"][0]["engine"] = serde_json::json!({"cache_tokens": keeps});
            document["services"][0]["context"] =
                serde_json::json!({"on": true, "share_percent": share});
        })
    };
    expect_that!(check(&context(1000, 20)), ok(anything()));
    let at = |spec: Spec| check(&spec).map_err(|fault| fault.field.unwrap_or_default());
    expect_that!(
        at(context(1000, 0)),
        err(eq("services[0].context.share_percent"))
    );
    expect_that!(
        at(context(1000, 51)),
        err(eq("services[0].context.share_percent"))
    );
    expect_that!(at(context(0, 20)), err(eq("services[0].context.on")));
    // Lanes that are reached by host and path are checked with the same care.
    let path = |edit: fn(&mut serde_json::Value)| {
        let mut path = serde_json::json!({"lane": "chat", "host": "h", "prefix": "/p/", "kind": "stream", "time_limit_ms": 5000,
            "expected_ms": 600, "split": [{"service": "desk", "weight": 1}]});
        edit(&mut path);
        check(&spec(|document| {
            document["paths"] = serde_json::json!([path])
        }))
    };
    expect_that!(path(|_| ()), ok(anything()));
    for (field, edit) in [
        (
            "paths[0].prefix",
            (|path| path["prefix"] = "p/".into()) as fn(&mut serde_json::Value),
        ),
        ("paths[0].time_limit_ms", |path| {
            path["time_limit_ms"] = 0.into()
        }),
        ("paths[0].split", |path| {
            path["split"][0]["weight"] = 0.into()
        }),
        ("paths[0].split[0].service", |path| {
            path["split"][0]["service"] = "other".into()
        }),
    ] {
        expect_that!(path(edit).unwrap_err().field.as_deref(), eq(Some(field)));
    }
    for (pointer, value, field) in cases {
        let fault = check(&spec(|document| {
            *document.pointer_mut(pointer).unwrap() = value
        }))
        .unwrap_err();
        expect_that!(fault.field.as_deref(), eq(Some(field)));
    }
}

/// Guards against a spec that leaves open whose request it is, and against an error that shows a key.
#[gtest]
fn tenants_are_told_apart_by_their_keys_and_errors_show_none() {
    let with_tenants = |tenants: serde_json::Value| {
        spec(|document| document["access"] = serde_json::json!({"tenants": tenants}))
    };
    let tenant = |name: &str, keys: &[&str]| serde_json::json!({"name": name, "keys": keys, "rank": 1, "homes": []});
    let good = with_tenants(serde_json::json!([
        tenant("one", &["secret-1", "secret-2", "secret-1"]),
        tenant("two", &["secret-3"])
    ]));
    expect_that!(check(&good), ok(anything()));
    expect_that!(format!("{good:?}"), not(contains_substring("secret")));
    let shared = with_tenants(serde_json::json!([
        tenant("one", &["secret-1", "secret-2"]),
        tenant("two", &["secret-3", "secret-2"])
    ]));
    let fault = check(&shared).unwrap_err();
    expect_that!(fault.field, some(eq("access.tenants[1].keys[1]")));
    expect_that!(fault.message, eq("two has a key of one"));
    for bad in [
        serde_json::json!([tenant("one", &["secret-1"]), tenant("one", &["secret-2"])]),
        serde_json::json!([tenant("a b", &["secret-1"])]),
        // As it is read back, without keys: a runbook that puts it again must not lock every tenant out.
        serde_json::json!([tenant("one", &["secret-1"]), tenant("two", &[])]),
    ] {
        let fault = check(&with_tenants(bad)).unwrap_err();
        expect_that!(fault.field, some(starts_with("access.tenants[")));
        expect_that!(fault.to_string(), not(contains_substring("secret")));
    }
}
