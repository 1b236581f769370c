//! Settings files that tests build on.

use serde_json::{Value, json};

/// The smallest file that is valid.
pub fn smallest() -> Value {
    json!({
        "instance": "oamaru-1",
        "domain": "oamaru-hall",
        "addresses": {"api": "127.0.0.1:7400", "peer": "127.0.0.1:7401"},
        "log": {"addresses": ["127.0.0.1:7300"]},
        "instance_list": {"address": "127.0.0.1:7310"}
    })
}
