//! Builds Rust types and call paths from the one schema file.

use std::{env, fs, path::Path};

use schemars::schema::Schema;
use serde_json::Value;
use typify::{TypeSpace, TypeSpaceSettings};

const FILE: &str = "schema/calls.openapi.json";

fn main() {
    println!("cargo:rerun-if-changed={FILE}");
    let text = fs::read_to_string(FILE).expect("read the schema file");
    // JSON Schema keeps shared types under `definitions`; only the references differ from OpenAPI's.
    let text = text.replace("#/components/schemas/", "#/definitions/");
    let document: Value = serde_json::from_str(&text).expect("the schema file is JSON");
    let folder = env::var("OUT_DIR").expect("OUT_DIR");
    let folder = Path::new(&folder);
    fs::write(folder.join("types.rs"), types(&document)).expect("write types");
    fs::write(folder.join("paths.rs"), paths(&document)).expect("write paths");
}

/// A Rust type for each schema of the document.
fn types(document: &Value) -> String {
    let definitions = document["components"]["schemas"]
        .as_object()
        .expect("components.schemas");
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".into()).with_replacement(
        "AccessKey",
        "crate::AccessKey",
        [].into_iter(),
    );
    let mut space = TypeSpace::new(&settings);
    let schemas = definitions.iter().map(|(name, definition)| {
        let schema: Schema = serde_json::from_value(definition.clone()).expect("a JSON schema");
        (name.clone(), schema)
    });
    space
        .add_ref_types(schemas)
        .expect("typify reads the schemas");
    let file = syn::parse2(space.to_stream()).expect("typify writes Rust");
    prettyplease::unparse(&file)
}

/// A constant with method and path for each operation of the document.
fn paths(document: &Value) -> String {
    let mut constants = String::new();
    for (path, operations) in document["paths"].as_object().expect("paths") {
        for (method, operation) in operations.as_object().expect("operations") {
            let id = operation["operationId"]
                .as_str()
                .expect("operationId")
                .to_uppercase();
            let method = method.to_uppercase();
            constants += &format!(
                "/// `{method} {path}`\npub const {id}: Call = (\"{method}\", \"{path}\");\n"
            );
        }
    }
    constants
}
