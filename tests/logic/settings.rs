//! The settings file: what is accepted, and that everything wrong with it is said at once.

#[path = "../support/file.rs"]
mod file;

use std::fs;
use std::path::{Path, PathBuf};

use oriolefork::api::header;
use oriolefork::runner::share::Position;
use oriolefork::settings::{self, Http, Override, Problems, Queues, Settings, Weighs};
use oriolefork::{http, runner};
use serde_json::{Value, json};
use test_case::test_case;

use file::smallest;

const TOKEN: &str = "a-secret-that-must-never-show";

/// The smallest file with `value` at the JSON pointer `place`, whose parents must exist or are one
/// missing section.
fn with(place: &str, value: Value) -> Value {
    let mut file = smallest();
    let (section, key) = place.rsplit_once('/').expect("a pointer");
    if file.pointer(section).is_none() {
        file[section.trim_start_matches('/')] = json!({});
    }
    file.pointer_mut(section).expect("a section")[key] = value;
    file
}

fn parse(file: &Value) -> Result<Settings, Problems> {
    settings::parse(&file.to_string(), &[])
}

fn problems(file: &Value) -> Vec<String> {
    let found = parse(file).err().unwrap_or_default();
    found.iter().map(ToString::to_string).collect()
}

fn paths(file: &Value) -> Vec<String> {
    let found = parse(file).err().unwrap_or_default();
    found.iter().map(|problem| problem.path().to_owned()).collect()
}

fn docs(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("docs").join(name)
}

#[test]
fn parse_smallest() {
    let settings = parse(&smallest()).expect("valid");
    assert_eq!(settings.instance, "oamaru-1");
    assert_eq!(settings.domains[0].name.as_str(), "oamaru-hall");
    assert!(settings.owner.lease > settings.owner.exchange_wait);
}

#[test]
fn defaults_are_the_slices_own() {
    assert_eq!(Queues::default().routing(), runner::Policy::default());
    assert_eq!(Queues::default().caller_timeout, header::DEFAULT_TIMEOUT);
}

#[test]
fn position_differs_on_each_instance() {
    let names = ["oamaru-1", "oamaru-2", "oamaru-3"];
    let peer = |name, port| json!({"name": name, "domain": "oamaru-hall", "address": format!("127.0.0.1:{port}")});
    let positions = names.map(|own| {
        let mut file = with("/instance", json!(own));
        let ports = 8_000..;
        file["peers"] = names.into_iter().zip(ports).map(|(name, port)| peer(name, port)).collect();
        let at = names.iter().position(|name| *name == own).expect("listed");
        file["addresses"]["peer"] = json!(format!("127.0.0.1:{}", 8_000 + at));
        parse(&file).expect("valid").position()
    });
    assert_eq!(positions, [0, 1, 2].map(|index| Position { index, count: 3 }));
}

#[test]
fn limits_of_http_are_the_servers() {
    let limits = Http::default().limits();
    assert!(limits.head_bytes <= http::Limits::HEAD_BYTES_CAP);
    assert_eq!(limits.body_bytes, Http::default().body_bytes);
}

#[test_case("waitaki-oamaru-1", Weighs::Packing)]
#[test_case("waitaki-kurow-1", Weighs::Packing)]
#[test_case("waitaki-palmerston-1", Weighs::Packing)]
#[test_case("lakeshore-erie-1", Weighs::Waiting)]
#[test_case("lakeshore-huron-1", Weighs::Waiting)]
#[test_case("lakeshore-superior-1", Weighs::Waiting)]
fn load_sample(name: &str, weighs: Weighs) {
    let path = docs("samples").join(name).with_extension("json");
    let settings = settings::load(&path, &[]).unwrap_or_else(|report| panic!("{report}"));
    assert_eq!(settings.weighs, weighs);
    assert_eq!(settings.domains.len(), 3);
    assert_eq!(settings.peers.len(), 8, "nine entry instances, without the own one");
    assert_eq!(settings.domain_peers().count(), 2);
}

#[test]
fn schema_equals_document() {
    let text = fs::read_to_string(docs("settings.schema.json")).expect("committed");
    let committed: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(committed, settings::schema(), "run `cargo run --example settings_schema`");
}

/// Each setting of a section with its default, such as `owner.lease_ms`.
fn defaults() -> Vec<(String, Value)> {
    let schema = settings::schema();
    let sections = schema["properties"].as_object().expect("properties").clone();
    let keys = sections.into_iter().flat_map(|(section, part)| {
        let keys = part["properties"].as_object().cloned().unwrap_or_default();
        keys.into_iter().map(move |(key, part)| (format!("{section}.{key}"), part))
    });
    let defaults = keys.filter_map(|(path, part)| Some((path, part.get("default")?.clone())));
    defaults.filter(|(_, value)| !value.is_null()).collect()
}

#[test]
fn page_names_defaults() {
    let page = fs::read_to_string(docs("operators/settings.md")).expect("committed");
    let defaults = defaults();
    assert!(defaults.len() > 20, "{defaults:?}");
    for (path, value) in &defaults {
        let row = page.lines().find(|line| line.starts_with('|') && line.contains(path.as_str()));
        let row = row.unwrap_or_else(|| panic!("{path} is not on the page"));
        let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        assert!(row.contains(&text), "the default of {path} is {text}, not as in {row}");
    }
}

#[test_case("/owner/lease_s", json!(20), "owner.lease_s: is no setting; write \"lease_ms\": 20000"; "other_unit")]
#[test_case("/owner/lease", json!("20s"), "owner.lease: is no setting; write \"lease_ms\": 20000"; "no_unit")]
#[test_case("/owner/lease_ms", json!("20s"), "owner.lease_ms: \"20s\" is not a whole number; write 20000 without quotes"; "text")]
#[test_case("/http/body_kib", json!(64), "http.body_kib: is no setting; write \"body_bytes\": 65536"; "kibibytes")]
#[test_case("/owner/lease_ms", json!(20.5), "owner.lease_ms: 20.5 is not a whole number; write a whole number of milliseconds"; "fraction")]
#[test_case("/owner/lease_ms", json!(-1), "owner.lease_ms: -1 is too small; write at least 100 milliseconds"; "negative")]
#[test_case("/owner/lease_ms", json!(9_999_999), "owner.lease_ms: 9999999 is too large; write at most 3600000 milliseconds"; "absurd")]
#[test_case("/queues/request", json!(9), "queues.request: is no setting; did you mean \"requests\"?"; "slip")]
#[test_case("/owner/colour", json!(9), "owner.colour: is no setting; remove it; known here are claim_timeout_ms, commit_delay_ms, exchange_timeout_ms, exchange_wait_ms, heartbeat_ms, lease_margin_ms, lease_ms, snapshot_records"; "unknown")]
#[test_case("/weighs", json!("speed"), "weighs: \"speed\" is not one of the choices; write one of waiting, packing"; "choice")]
#[test_case("/instance", json!("Oamaru 1"), "instance: \"Oamaru 1\" is not a name; use 1 to 63 lower-case letters, digits and inner hyphens"; "name")]
#[test_case("/addresses/api", json!("oamaru:7400"), "addresses.api: \"oamaru:7400\" is not an address; write IP:PORT with numbers, such as \"10.1.0.11:7400\""; "host_name")]
#[test_case("/addresses/api", json!("127.0.0.1:0"), "addresses.api: \"127.0.0.1:0\" has no port; write a port from 1 to 65535"; "port_zero")]
#[test_case("/addresses/peer", json!("0.0.0.0:7401"), "addresses.peer: 0.0.0.0:7401 means every address of the machine, which peers cannot connect to; write the address by which other entry instances reach this one"; "unspecified")]
#[test_case("/addresses/peer", json!("127.0.0.1:7400"), "addresses.peer: 127.0.0.1:7400 clashes with addresses.api = 127.0.0.1:7400; give each its own address or port"; "same_address")]
#[test_case("/log/addresses", json!([]), "log.addresses: lists too few; list at least 1"; "no_log")]
fn parse_problem(place: &str, value: Value, expected: &str) {
    assert_eq!(problems(&with(place, value)), [expected]);
}

#[test_case("/owner/lease_ms", 8_000, "owner.lease_ms"; "lease_within_exchanges")]
#[test_case("/owner/lease_margin_ms", 1_000, "owner.lease_margin_ms"; "log_as_long_as_margin")]
#[test_case("/log/timeout_ms", 2_000, "owner.lease_margin_ms"; "margin_as_short_as_log")]
#[test_case("/owner/claim_timeout_ms", 1_199, "owner.claim_timeout_ms"; "claim_within_heartbeats")]
#[test_case("/queues/request_wait_ms", 10_000, "queues.caller_timeout_ms"; "wait_as_long_as_caller")]
#[test_case("/http/shutdown_grace_ms", 10_000, "http.shutdown_grace_ms"; "grace_within_caller")]
fn parse_contradiction(place: &str, value: u64, expected: &str) {
    assert_eq!(paths(&with(place, json!(value))), [expected]);
}

#[test_case("/owner/lease_ms", 8_001; "lease")]
#[test_case("/owner/lease_margin_ms", 1_001; "margin")]
#[test_case("/owner/claim_timeout_ms", 1_200; "claim")]
#[test_case("/queues/request_wait_ms", 9_999; "wait")]
fn parse_limit_that_just_holds(place: &str, value: u64) {
    assert_eq!(problems(&with(place, json!(value))), Vec::<String>::new());
}

#[test]
fn parse_all_problems_at_once() {
    let mut file = smallest();
    file["instance"] = json!(7);
    file["addresses"] = json!({"api": "127.0.0.1:7300", "peers": "127.0.0.1:7401"});
    file["owner"] = json!({"lease_ms": 100, "heartbeat_ms": "fast"});
    file["queues"] = json!({"request_wait_ms": 50_000});
    file["services"] = json!([{"name": "portal"}, {"name": "portal"}]);
    file.as_object_mut().expect("object").remove("instance_list");
    let mut found = paths(&file);
    found.sort();
    let expected = [
        "addresses.peer",
        "addresses.peers",
        "instance",
        "instance_list",
        "log.addresses[0]",
        "owner.heartbeat_ms",
        "owner.lease_ms",
        "queues.caller_timeout_ms",
        "services[1]",
    ];
    found.dedup();
    assert_eq!(found, expected);
}

#[test_case(json!([{"name": "a", "domain": "oamaru-hall", "address": "127.0.0.1:7300"}]), "peers[0].address"; "address_of_log")]
#[test_case(json!([{"name": "oamaru-1", "domain": "oamaru-hall", "address": "127.0.0.1:7999"}]), "peers[0].address"; "own_entry_elsewhere")]
#[test_case(json!([{"name": "a", "domain": "b", "address": "127.0.0.1:1"}, {"name": "a", "domain": "b", "address": "127.0.0.1:2"}]), "peers[1]"; "name_twice")]
#[test_case(json!([{"name": "a", "domain": "b", "address": 5}]), "peers[0].address"; "number")]
fn parse_peers_problem(peers: Value, expected: &str) {
    assert_eq!(paths(&with("/peers", peers)), [expected]);
}

#[test]
fn parse_peer_in_unlisted_domain() {
    let mut file = with("/domains", json!([{"name": "oamaru-hall", "region": "otago"}]));
    file["peers"] = json!([{"name": "k", "domain": "kurow-hal", "address": "127.0.0.1:1"}]);
    assert_eq!(paths(&file), ["peers[0].domain"]);
}

#[test_case("{\"a\": 1, \"a\": 2}", "the key \"a\" stands twice"; "key_twice")]
#[test_case("{\"a\": ", "EOF"; "cut_short")]
#[test_case("{} {}", "trailing characters"; "trailing")]
#[test_case("[]", "is not an object"; "list")]
fn parse_broken_text(text: &str, cause: &str) {
    let found = settings::parse(text, &[]).expect_err("broken");
    assert!(found[0].to_string().contains(cause), "{}", found[0]);
}

#[test]
fn load_missing_file() {
    let report = settings::check(&docs("samples/nowhere.json"), &[]);
    assert!(!report.valid);
    assert!(report.to_string().contains("cannot be read"), "{report}");
}

#[test]
fn check_report_as_json() {
    let report = settings::check(&docs("samples/waitaki-oamaru-1.json"), &[]);
    let value = serde_json::to_value(&report).expect("JSON");
    assert_eq!(value["valid"], json!(true));
    assert_eq!(value["problems"], json!([]));
}

fn with_overrides(texts: &[&str]) -> Result<Settings, Problems> {
    let overrides: Vec<Override> =
        texts.iter().map(|text| text.parse().expect("path=value")).collect();
    settings::parse(&smallest().to_string(), &overrides)
}

#[test]
fn override_replaces_the_files() {
    let texts = ["instance=oamaru-2", "owner.lease_ms=20000", "log.addresses=[\"127.0.0.1:9\"]"];
    let settings = with_overrides(&texts).expect("valid");
    assert_eq!(settings.instance, "oamaru-2");
    assert_eq!(settings.owner.lease.as_millis(), 20_000);
    assert_eq!(settings.log.addresses[0].port(), 9);
}

#[test_case("owner.lease=20000", "owner.lease"; "unknown_key")]
#[test_case("owner.lease_ms=1000", "owner.lease_ms"; "contradiction")]
#[test_case("instance.name=x", "instance.name"; "through_text")]
#[test_case("operators.token=abcdefghijklmnop", "operators.token"; "secret")]
#[test_case("operators={\"token\":\"abcdefghijklmnop\"}", "operators"; "secret_within")]
fn override_checked(text: &str, path: &str) {
    let found = with_overrides(&[text]).expect_err("refused");
    assert!(found.iter().any(|problem| problem.path() == path), "{found:?}");
}

#[test_case(&json!({"operators": {"token": TOKEN}}); "operators")]
#[test_case(&json!({"services": [{"name": "portal", "token": TOKEN}]}); "service")]
fn debug_hides_secrets(sections: &Value) {
    let mut file = smallest();
    file.as_object_mut().expect("object").extend(sections.as_object().cloned().expect("object"));
    let settings = parse(&file).expect("valid");
    assert!(!format!("{settings:?}").contains(TOKEN));
}

#[test_case(json!([TOKEN]); "wrong_type")]
#[test_case(json!({"inner": TOKEN}); "object")]
#[test_case(json!(TOKEN.repeat(10)); "too_long")]
fn problem_hides_secrets(token: Value) {
    let found = problems(&with("/operators/token", token));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(!found[0].contains(TOKEN), "{found:?}");
}

#[test]
fn parse_shared_secret() {
    let mut file = with("/operators/token", json!(TOKEN));
    file["services"] = json!([{"name": "portal", "token": TOKEN}]);
    let found = problems(&file);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(!found[0].contains(TOKEN), "{found:?}");
}
