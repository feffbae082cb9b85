//! The product's own interface as its callers see it: every path, every type and every property keeps its spelling.

use serde_json::Value;

const SCHEMA: &str = include_str!("../schema/calls.openapi.json");

fn type_of(schema: &Value) -> String {
    if let Some(reference) = schema["$ref"].as_str() {
        return reference.rsplit('/').next().unwrap_or_default().to_string();
    }
    let kind = match schema["format"].as_str() {
        Some(format) => format.to_string(),
        None => schema["type"].as_str().unwrap_or("any").to_string(),
    };
    match kind.as_str() {
        "array" => format!("[{}]", type_of(&schema["items"])),
        "object" if schema["additionalProperties"].is_object() => {
            format!("{{{}}}", type_of(&schema["additionalProperties"]))
        }
        _ => kind,
    }
}

fn operations(schema: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for (path, operations) in schema["paths"].as_object().unwrap() {
        for (method, operation) in operations.as_object().unwrap() {
            let id = operation["operationId"].as_str().unwrap();
            lines.push(format!("{} {path} {id}", method.to_uppercase()));
        }
    }
    lines
}

fn properties(schema: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, definition) in schema["components"]["schemas"].as_object().unwrap() {
        if let Some(values) = definition["enum"].as_array() {
            let values: Vec<&str> = values.iter().filter_map(Value::as_str).collect();
            lines.push(format!("{name} = {}", values.join(" | ")));
        }
        let required: Vec<&str> = definition["required"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        for (property, schema) in definition["properties"].as_object().into_iter().flatten() {
            let optional = if required.contains(&property.as_str()) {
                ""
            } else {
                "?"
            };
            lines.push(format!("{name}.{property}{optional}: {}", type_of(schema)));
        }
    }
    lines
}

#[test]
fn paths_types_and_properties_keep_their_spelling() {
    let schema: Value = serde_json::from_str(SCHEMA).unwrap();
    let mut lines = operations(&schema);
    lines.extend(properties(&schema));
    lines.sort();
    insta::assert_snapshot!(lines.join("\n"));
}
