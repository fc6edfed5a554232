//! Decoding and validation of the operator's documents and calls.

use http::{Method, StatusCode};
use kumquatpost::control::operator_server::{OperatorCall, validate_call};
use kumquatpost::deployment::{RunPolicy, ServiceRole};
use kumquatpost::platform::{deployment_document, operator};
use serde_json::{Value, json};

use crate::fixtures::ms;

fn document() -> Value {
    json!({
        "Version": 7,
        "Routes": [
            {"Name": "r1", "Host": "h.example", "PathPrefix": "/a/", "Kind": "stream",
             "TimeoutMs": 10000, "SloMs": 600, "Priority": 2, "Attempts": 1, "Public": false,
             "Split": [{"Service": "llm", "Weight": 90}, {"Service": "app", "Weight": 10}],
             "Sticky": true, "Resumable": true, "GapTargetMs": 300},
            {"Name": "r2", "Host": "h.example", "PathPrefix": "/b/", "Kind": "unsafe",
             "TimeoutMs": 800, "SloMs": 100, "Service": "app"}
        ],
        "Services": [
            {"Name": "app", "HealthPath": "/healthz", "MaxConns": 110},
            {"Name": "llm", "MaxConns": 300, "Engine": {"Slots": 48, "KvCapacity": 109900,
             "KvTokenBytes": 131072, "LinkMbps": 1100000.0, "Models": [{"Name": "m"}]}},
            {"Name": "vault", "KvStoreAddr": "172.20.0.6:8006", "Zone": "hall",
             "KvCapacity": 264618, "LinkMbps": 1500000.0, "Managed": true, "first_ms": 0.5}
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "t1", "ApiKeys": ["k1", "k2"], "Priority": 1, "Isolated": true},
                    {"Name": "t2", "ApiKeys": ["k3"]}]
    })
}

fn put(document: &Value) -> Result<OperatorCall, operator::RejectedCall> {
    operator::decode(&Method::PUT, "/config", document.to_string().as_bytes())
        .and_then(validate_call)
}

#[test]
fn all_fields_are_decoded() {
    let text = document().to_string();
    let deployment = deployment_document::decode(text.as_bytes()).expect("it is valid");
    assert_eq!(deployment.version, 7);
    let route = &deployment.routes[0];
    assert_eq!(route.policy, RunPolicy::StreamResumable);
    assert_eq!((route.timeout, route.objective), (ms(10_000), ms(600)));
    assert_eq!(route.split.iter().map(|share| share.weight).collect::<Vec<_>>(), [90, 10]);
    assert_eq!(deployment.routes[1].policy, RunPolicy::Once);
    assert_eq!(deployment.routes[1].attempts, 1, "must be 1 by default");
    assert!(matches!(&deployment.services["llm"].role, ServiceRole::Engines(t) if t.slots == 48));
    let ServiceRole::Store(store) = &deployment.services["vault"].role else { panic!("a store") };
    assert_eq!(store.first_byte, std::time::Duration::from_micros(500));
    let accounts = deployment.accounts.expect("accounts");
    assert!(accounts[0].is_isolated && !accounts[1].is_isolated);
    assert_eq!(deployment.request_limits.idle_timeout, ms(15_000));
}

#[test]
fn an_invalid_document_is_rejected_with_the_cause() {
    type Change = fn(&mut Value);
    let cases: &[(&str, Change)] = &[
        ("unknown service", |d| d["Routes"][1]["Service"] = json!("nowhere")),
        ("routed twice", |d| d["Routes"][1]["PathPrefix"] = json!("/a/")),
        ("add up to 0", |d| {
            d["Routes"][0]["Split"] = json!([{"Service": "llm", "Weight": 0}]);
        }),
        ("add up to 0", |d| {
            d["Routes"][1].as_object_mut().expect("a route").remove("Service");
        }),
        ("timeout", |d| d["Routes"][1]["TimeoutMs"] = json!(0)),
        ("shares a key", |d| d["Tenants"][1]["ApiKeys"] = json!(["k2"])),
        ("not a valid prefix", |d| d["Routes"][1]["PathPrefix"] = json!("b")),
        ("Kind", |d| {
            d["Routes"][1].as_object_mut().expect("a route").remove("Kind");
        }),
        ("Version", |d| {
            d.as_object_mut().expect("a document").remove("Version");
        }),
        ("Routes", |d| {
            d.as_object_mut().expect("a document").remove("Routes");
        }),
        ("invalid type", |d| d["Version"] = json!("seven")),
    ];
    for (expected, change) in cases {
        let mut document = document();
        change(&mut document);
        let rejected = put(&document).expect_err(expected);
        assert_eq!(rejected.status, StatusCode::BAD_REQUEST);
        assert!(rejected.message.contains(expected), "{expected}: {}", rejected.message);
    }
}

#[test]
fn a_truncated_document_is_rejected() {
    let text = document().to_string();
    for length in 0..text.len() {
        let truncated = operator::decode(&Method::PUT, "/config", &text.as_bytes()[..length]);
        assert!(truncated.is_err(), "truncated to {length} bytes");
    }
}

#[test]
fn the_same_account_may_name_a_key_twice() {
    let mut document = document();
    document["Tenants"][0]["ApiKeys"] = json!(["k1", "k1"]);
    assert!(put(&document).is_ok());
}

#[test]
fn calls_are_answered_by_method_path_and_body() {
    let cases = [
        (Method::GET, "/config", "", 200),
        (Method::POST, "/config", "", 405),
        (Method::GET, "/elsewhere", "", 404),
        (Method::POST, "/version-put", "{\"Model\":\"m\"}", 400),
        (Method::POST, "/version-put", "{\"Model\":\"m\",\"Version\":2}", 200),
    ];
    for (method, path, body, status) in cases {
        let decoded = operator::decode(&method, path, body.as_bytes());
        let got = decoded.map_or_else(|rejected| rejected.status.as_u16(), |_| 200);
        assert_eq!(got, status, "{method} {path} {body}");
    }
}
