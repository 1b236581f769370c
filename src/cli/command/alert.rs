//! `alerts`.

use ::http::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use super::Context;
use crate::api::wire::alert::{Alert, OperatorName};
use crate::api::wire::{Page, check};
use crate::cli::entries::{Ask, Told};
use crate::cli::failure::Failure;
use crate::cli::output::Report;
use crate::cli::text::{Table, clean, time};

/// Lists alerts of the failure domain of the first instance that answers.
pub async fn list(context: &Context, all: bool) -> Result<Report, Failure> {
    let ask = Ask::get(format!("/v1/alerts?all={all}&limit={}", check::MAX_PAGE_SIZE));
    let told: Told<Page<Alert>> = context.entries.ask(&ask).await?;
    Ok(Report::done(&told.body, listing(&told)))
}

fn listing(told: &Told<Page<Alert>>) -> String {
    let mut table =
        Table::new(&["ID", "KIND", "SUBJECT", "SINCE", "OVER", "TIMES", "SEEN BY", "MESSAGE"]);
    for alert in &told.body.items {
        let kind = alert.kind.to_string();
        let since = time(alert.raised_unix_ms);
        let over = alert.ended_unix_ms.map_or_else(|| "-".to_owned(), time);
        let count = alert.count.to_string();
        let seen = alert.acknowledged_by.as_deref().unwrap_or("-");
        table.row(&[&alert.id, &kind, &alert.subject, &since, &over, &count, seen, &alert.message]);
    }
    let domain = clean(&told.domain);
    if table.is_empty() {
        return format!("no alerts in {domain}\n");
    }
    let more = if told.body.next.is_some() { "there are more\n" } else { "" };
    format!("alerts in {domain}:\n{}{more}", table.render())
}

/// Acknowledges an alert.
pub async fn acknowledge(context: &Context, id: &str) -> Result<Report, Failure> {
    let operator = OperatorName { by: context.by()? };
    let id = utf8_percent_encode(id, NON_ALPHANUMERIC);
    let ask = Ask::change(Method::POST, format!("/v1/alerts/{id}/acknowledge"), &operator);
    let told: Told<Alert> = context.entries.ask(&ask).await?;
    let by = told.body.acknowledged_by.as_deref().unwrap_or("nobody");
    let text = format!("alert {} is acknowledged by {}\n", clean(&told.body.id), clean(by));
    Ok(Report::done(&told.body, text))
}
