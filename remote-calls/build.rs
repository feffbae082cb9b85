//! Builds Rust types and call paths from the one schema file.

use std::{env, fs, path::Path};

use schemars::schema::Schema;
use serde_json::Value;
use typify::{TypeSpace, TypeSpaceSettings};

const FILE: &str = "schema/calls.openapi.json";

fn main() {
    println!("cargo:rerun-if-changed={FILE}");
    let raw = fs::read_to_string(FILE).expect("read the schema file");
    // JSON Schema keeps shared types under `definitions`; only the references differ from OpenAPI's.
    let doc: Value = serde_json::from_str(&raw.replace("#/components/schemas/", "#/definitions/"))
        .expect("the schema file is JSON");
    let types = doc["components"]["schemas"]
        .as_object()
        .expect("components.schemas");
    let mut space = TypeSpace::new(TypeSpaceSettings::default().with_derive("PartialEq".into()));
    space
        .add_ref_types(types.iter().map(|(n, v)| {
            let s: Schema = serde_json::from_value(v.clone()).expect("a JSON schema");
            (n.clone(), s)
        }))
        .expect("typify reads the schemas");
    let out = env::var("OUT_DIR").expect("OUT_DIR");
    let file = syn::parse2(space.to_stream()).expect("typify writes Rust");
    fs::write(
        Path::new(&out).join("types.rs"),
        prettyplease::unparse(&file),
    )
    .expect("write types");

    let mut paths = String::new();
    for (p, ops) in doc["paths"].as_object().expect("paths") {
        for (m, op) in ops.as_object().expect("operations") {
            let id = op["operationId"]
                .as_str()
                .expect("operationId")
                .to_uppercase();
            paths += &format!(
                "/// `{} {p}`\npub const {id}: Call = (\"{}\", \"{p}\");\n",
                m.to_uppercase(),
                m.to_uppercase()
            );
        }
    }
    fs::write(Path::new(&out).join("paths.rs"), paths).expect("write paths");
}
