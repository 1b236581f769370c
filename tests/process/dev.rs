//! The trial site.

use std::process::Command;

// The README's first command: a newcomer runs it and sees jobs of every kind end as they should,
// quick requests answered whole, and the jobs that fail on purpose shown as alerts.
#[test]
fn dev_ends_as_expected() {
    let output = Command::new(env!("CARGO_BIN_EXE_oriolefork"))
        .args(["--json", "dev"])
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    let summary: serde_json::Value = serde_json::from_str(&text).expect("JSON on stdout");
    for kind in ["long-running", "batch", "gang", "urgent", "failing"] {
        let group = &summary["kinds"][kind];
        assert_eq!(group["jobs"], group["as_expected"], "{kind}: {summary}");
    }
    assert_eq!(summary["requests"], 150, "{summary}");
    let alerts = summary["alerts"].as_array().expect("alerts");
    assert!(alerts.len() >= 3, "{summary}");
}
