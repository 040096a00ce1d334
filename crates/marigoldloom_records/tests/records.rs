//! Tests the decoding of records: unknown fields are preserved, and newer schemas and
//! invalid values are rejected with an error that names the cause.

use std::collections::BTreeMap;

use marigoldloom_records::record::{self, AnyRecord, Invalid, Kind, Problem};
use quickcheck::{Arbitrary, Gen, TestResult};
use serde_json::{Map, Value, json};

/// A valid record of each kind.
fn sample(kind: Kind) -> Value {
    match kind {
        Kind::FailureDomain => json!({
            "schema": 1, "name": "riga", "region": "baltic", "state": "active",
        }),
        Kind::Service => json!({
            "schema": 1, "name": "search", "active": "v1", "deadline_ms": 280,
            "versions": { "v1": { "shards": 20, "epoch": 3 } },
            "routes": { "find": { "idempotent": true } },
        }),
        Kind::Upstream => json!({
            "schema": 1, "name": "u-1", "service": "search", "version": "v1", "epoch": 3,
            "shards": [0, 1], "domain": "riga", "address": "10.0.0.1:9000", "slots": 3,
            "cold_slots": 2, "connections": 30, "state": "live",
        }),
        Kind::Instance => json!({
            "schema": 1, "name": "i-1", "domain": "riga", "peer": "10.0.0.2:8081",
            "state": "leaving",
        }),
        Kind::VersionMove => json!({
            "schema": 1, "name": "m-1", "service": "search", "from": "v1", "to": "v2",
            "start_ms": 1_000, "deadline_ms": 2_000, "intent": "proceed",
            "status": {
                "phase": "running", "reason": "5%", "at_ms": 1_500,
                "evidence": { "find": {
                    "requests": 9, "failures": 1, "slow": 0,
                    "old_requests": 90, "old_failures": 0, "old_slow": 2,
                } },
            },
        }),
    }
}

fn encode(record: &AnyRecord) -> Value {
    let encoded = match record {
        AnyRecord::Service(r) => serde_json::to_value(r),
        AnyRecord::FailureDomain(r) => serde_json::to_value(r),
        AnyRecord::Upstream(r) => serde_json::to_value(r),
        AnyRecord::Instance(r) => serde_json::to_value(r),
        AnyRecord::VersionMove(r) => serde_json::to_value(r),
    };
    encoded.unwrap()
}

#[derive(Clone, Copy, Debug)]
struct AnyKind(Kind);

impl Arbitrary for AnyKind {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(*g.choose(&Kind::ALL).unwrap())
    }
}

/// Arbitrary JSON up to three levels deep, including null, arrays and objects.
#[derive(Clone, Debug)]
struct Json(Value);

impl Arbitrary for Json {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(any_json(g, 3))
    }
}

fn any_json(g: &mut Gen, depth: u32) -> Value {
    let variants = if depth == 0 { 5 } else { 7 };
    match u32::arbitrary(g) % variants {
        0 => Value::Null,
        1 => bool::arbitrary(g).into(),
        2 => u64::arbitrary(g).into(),
        3 => i64::arbitrary(g).into(),
        4 => String::arbitrary(g).into(),
        5 => (0..3).map(|_| any_json(g, depth - 1)).collect(),
        _ => {
            let mut field = |_| (String::arbitrary(g), any_json(g, depth - 1));
            Value::Object((0..3).map(&mut field).collect::<Map<_, _>>())
        }
    }
}

/// Guards against an old instance that drops fields written by a newer one or by an operator.
#[test]
fn unknown_fields_survive_decode_and_encode() {
    fn property(kind: AnyKind, fields: BTreeMap<String, Json>) -> bool {
        let mut value = sample(kind.0);
        for (name, field) in fields {
            value[format!("x-{name}")] = field.0;
        }
        let record = record::decode_any(kind.0, &value).unwrap();
        encode(&record) == value
    }
    quickcheck::quickcheck(property as fn(AnyKind, BTreeMap<String, Json>) -> bool);
}

/// Guards against accepting a record of a newer schema whose meaning this build knows only
/// in part, and against an error that does not name the schema version.
#[test]
fn newer_schemas_are_refused_with_both_versions() {
    fn property(kind: AnyKind, schema: u64) -> TestResult {
        if schema <= u64::from(record::SCHEMA) {
            return TestResult::discard();
        }
        let mut value = sample(kind.0);
        value["schema"] = json!(schema);
        // A newer schema may change the type of a field; the schema error takes precedence.
        value["region"] = json!({ "renamed": true });
        let name = value["name"].as_str().unwrap().to_owned();
        let expected = Invalid::Schema {
            kind: kind.0,
            name,
            found: schema,
            supported: record::SCHEMA,
        };
        let error = record::decode_any(kind.0, &value).unwrap_err();
        let names_schema = error.to_string().contains(&schema.to_string());
        TestResult::from_bool(error == expected && names_schema)
    }
    quickcheck::quickcheck(property as fn(AnyKind, u64) -> TestResult);
}

/// Guards against panics on arbitrary JSON, and against records that are rejected or differ
/// after they are written back.
#[test]
fn any_json_is_decoded_or_refused() {
    fn property(kind: AnyKind, field: usize, json: Json) -> bool {
        let mut value = sample(kind.0);
        let names: Vec<String> = value.as_object().unwrap().keys().cloned().collect();
        value[&names[field % names.len()]] = json.0.clone();
        [value, json.0].iter().all(|value| {
            let decoded = record::decode_any(kind.0, value);
            let reencoded = decoded.clone().map(|r| encode(&r));
            reencoded.is_err() || record::decode_any(kind.0, &reencoded.unwrap()) == decoded
        })
    }
    quickcheck::quickcheck(property as fn(AnyKind, usize, Json) -> bool);
}

struct RangeCase {
    kind: Kind,
    /// JSON pointer to the field; its last segment is the field's name.
    path: &'static str,
    min: u64,
    max: u64,
}

const fn range(kind: Kind, path: &'static str, min: u64, max: u64) -> RangeCase {
    RangeCase {
        kind,
        path,
        min,
        max,
    }
}

const RANGES: &[RangeCase] = &[
    range(Kind::Service, "/deadline_ms", 1, 600_000),
    range(Kind::Service, "/versions/v1/shards", 1, 4_096),
    // `slots` must be at least the sample's `cold_slots` of 2.
    range(Kind::Upstream, "/slots", 2, 1_024),
    range(Kind::Upstream, "/cold_slots", 1, 3),
    range(Kind::Upstream, "/connections", 1, 65_535),
    range(Kind::VersionMove, "/deadline_ms", 1_001, u64::MAX),
];

fn with_field(kind: Kind, path: &str, field: Value) -> Value {
    let mut value = sample(kind);
    *value.pointer_mut(path).unwrap() = field;
    value
}

/// The field that the validation error names, if decoding fails with one.
fn refused_field(kind: Kind, value: &Value) -> Option<&'static str> {
    match record::decode_any(kind, value) {
        Err(Invalid::Field { field, .. }) => Some(field),
        _ => None,
    }
}

/// Guards against a range check with the wrong bound, a missing range check, and an error
/// that names another field.
#[test]
fn numbers_out_of_range_are_refused_with_their_field() {
    fn property(number: u32, index: usize) -> bool {
        let range = &RANGES[index % RANGES.len()];
        check_number(range, u64::from(number))
    }
    for range in RANGES {
        let bounds = [
            range.min - 1,
            range.min,
            range.max,
            range.max.saturating_add(1),
        ];
        for number in bounds {
            assert!(check_number(range, number), "{} {number}", range.path);
        }
    }
    quickcheck::quickcheck(property as fn(u32, usize) -> bool);
}

fn check_number(range: &RangeCase, number: u64) -> bool {
    let value = with_field(range.kind, range.path, json!(number));
    let refused = refused_field(range.kind, &value);
    let field = range.path.rsplit('/').next();
    match (range.min..=range.max).contains(&number) {
        true => refused.is_none(),
        // One slot is in range by itself but less than `cold_slots`.
        false if field == Some("slots") && number == 1 => refused == Some("cold_slots"),
        false => refused == field,
    }
}

struct NameField {
    kind: Kind,
    path: &'static str,
    field: &'static str,
}

const fn name_field(kind: Kind, path: &'static str, field: &'static str) -> NameField {
    NameField { kind, path, field }
}

const NAME_FIELDS: &[NameField] = &[
    name_field(Kind::FailureDomain, "/name", "name"),
    name_field(Kind::FailureDomain, "/region", "region"),
    name_field(Kind::Service, "/name", "name"),
    name_field(Kind::Upstream, "/name", "name"),
    name_field(Kind::Upstream, "/service", "service"),
    name_field(Kind::Upstream, "/version", "version"),
    name_field(Kind::Upstream, "/domain", "domain"),
    name_field(Kind::Instance, "/name", "name"),
    name_field(Kind::Instance, "/domain", "domain"),
    name_field(Kind::VersionMove, "/name", "name"),
    name_field(Kind::VersionMove, "/service", "service"),
    name_field(Kind::VersionMove, "/from", "from"),
    name_field(Kind::VersionMove, "/to", "to"),
];

/// Guards against names that are not valid in a URL path, a header or a metric label.
#[test]
fn invalid_names_are_refused_with_their_field() {
    fn property(text: String, index: usize) -> bool {
        let case = &NAME_FIELDS[index % NAME_FIELDS.len()];
        let refused = refused_field(case.kind, &with_field(case.kind, case.path, json!(text)));
        match record::is_name(&text) {
            // A valid name may equal the version that the move starts from.
            true => refused.is_none() || refused == Some("to"),
            false => refused == Some(case.field),
        }
    }
    for text in ["", "a/b", "a b", "a\n", "é", "x\0", &"n".repeat(129)] {
        assert!(!record::is_name(text), "{text:?}");
        for (index, case) in NAME_FIELDS.iter().enumerate() {
            assert!(property(text.to_owned(), index), "{text:?} {}", case.path);
        }
    }
    for text in ["a", "A-1_b.c", &"n".repeat(128)] {
        assert!(record::is_name(text), "{text:?}");
    }
    quickcheck::quickcheck(property as fn(String, usize) -> bool);
}

struct Contradiction {
    kind: Kind,
    path: &'static str,
    value: Value,
    field: &'static str,
    problem: Problem,
}

fn contradiction(
    kind: Kind,
    path: &'static str,
    value: Value,
    field: &'static str,
    problem: Problem,
) -> Contradiction {
    Contradiction {
        kind,
        path,
        value,
        field,
        problem,
    }
}

/// Guards against records whose fields are each in range but inconsistent with each other.
#[test]
fn contradictions_are_refused_with_their_field() {
    let cases = [
        contradiction(
            Kind::Service,
            "/active",
            json!("v9"),
            "active",
            Problem::Undefined { name: "v9".into() },
        ),
        contradiction(
            Kind::Service,
            "/routes",
            json!({}),
            "routes",
            Problem::Empty,
        ),
        contradiction(
            Kind::Service,
            "/routes",
            json!({ "a b": { "idempotent": true } }),
            "routes",
            Problem::InvalidName { name: "a b".into() },
        ),
        contradiction(
            Kind::Upstream,
            "/shards",
            json!([]),
            "shards",
            Problem::Empty,
        ),
        contradiction(
            Kind::VersionMove,
            "/to",
            json!("v1"),
            "to",
            Problem::NotDistinct { other: "from" },
        ),
        contradiction(
            Kind::VersionMove,
            "/start_ms",
            json!(u64::MAX),
            "start_ms",
            Problem::OutOfRange {
                value: u64::MAX,
                min: 0,
                max: u64::MAX - 1,
            },
        ),
        contradiction(
            Kind::VersionMove,
            "/start_ms",
            json!(2_000),
            "deadline_ms",
            Problem::OutOfRange {
                value: 2_000,
                min: 2_001,
                max: u64::MAX,
            },
        ),
    ];
    for case in cases {
        let value = with_field(case.kind, case.path, case.value);
        let name = value["name"].as_str().unwrap().to_owned();
        let expected = Invalid::Field {
            kind: case.kind,
            name,
            field: case.field,
            problem: case.problem,
        };
        let error = record::decode_any(case.kind, &value).unwrap_err();
        assert_eq!(error, expected, "{}", case.path);
        assert!(error.to_string().contains(case.field));
    }
}
