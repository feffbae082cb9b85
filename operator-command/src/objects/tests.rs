use googletest::prelude::*;

use super::*;

#[gtest]
fn objects_end_in_the_same_checks_and_faults_name_their_place() {
    let zone = r#"{"apiVersion": "landingslip/v1", "kind": "Zone", "metadata": {"name": "bern"}, "spec": {"evacuated": true}}"#;
    expect_that!(
        read(zone),
        ok(eq(&vec![Object::Zone {
            zone: "bern".into(),
            evacuated: true
        }]))
    );
    let plan = r#"{"apiVersion": "landingslip/v1", "kind": "ReleasePlan", "metadata": {"name": "desk"},
        "spec": {"target": "v2", "completeWithinSeconds": 60}}"#;
    expect_that!(
        read(&format!("[{zone}, {plan}]")).map(|objects| objects.len()),
        ok(eq(&2))
    );
    let cases = [
        (zone.replace("v1", "v9"), "[0].apiVersion"),
        (zone.replace("Zone", "Pod"), "[0].kind"),
        (
            zone.replace("\"name\"", "\"namespace\""),
            "[0].metadata.name",
        ),
        (zone.replace("evacuated", "empty"), "[0].spec"),
        (
            zone.replace("\"spec\"", "\"status\": {}, \"spec\""),
            "[0].object",
        ),
        (
            format!("[{zone}, {}]", zone.replace("Zone", "Fleet")),
            "[1].spec",
        ),
    ];
    for (text, field) in cases {
        expect_that!(
            read(&text).unwrap_err().field.as_deref(),
            eq(Some(field)),
            "{text}"
        );
    }
}
