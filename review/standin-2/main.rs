//! Scripts of the second review. `review-2 CASE FOLDER` plays one of them and writes the record into
//! the folder; it exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod advice;
mod cases;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use std::path::PathBuf;
use std::sync::Arc;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::create(&folder.join("record.txt")));
    record.note(&format!("case {case}, trouble {trouble}"));
    let play: fn(Arc<record::Record>, bool) -> i32 = match case.as_str() {
        "wide-step" => cases::wide_step,
        "many-jobs" => cases::many_jobs,
        "snapshot-keys" => cases::snapshot_keys,
        "lost-worker" => cases::lost_worker,
        "behind-others" => cases::behind_others,
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    let played = record.clone();
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(played, trouble)));
    let code = code.unwrap_or(2);
    record.totals();
    record.note(&format!("exit {code}"));
    println!("{case}: trouble {trouble}, exit {code}");
    std::process::exit(code);
}
