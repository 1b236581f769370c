//! Alerts, at the owner of the failure domain.

use super::Entry;
use super::jobs::refusal;
use crate::alert;
use crate::api::{CallContext, Reason, Refusal, view};
use crate::entry::forward::{OwnerResponse, Reply};
use crate::owner::machine::{self, Answer};

impl Entry {
    /// Acknowledges an alert, as the owner.
    pub(super) async fn acknowledge_here(&self, call: CallContext, text: &str) -> Reply {
        let unknown = || Refusal::not_run(Reason::NotFound, format!("no alert {text} is known"));
        let id = alert::Id::parse(text).ok_or_else(unknown)?;
        let by = call.by.unwrap_or_default();
        let change = machine::Call::Acknowledge { alert: id, by };
        match self.handle.call(&*self.clock, change, call.within).await {
            Answer::Acknowledged => {}
            Answer::NotFound => return Err(unknown()),
            other => return Err(refusal("alert", text, other)),
        }
        self.read_state(move |machine, _, _| {
            let alert = machine.board().get(id);
            Ok(alert.map(|alert| view::alert::Alert::new(&machine.domain, alert)))
        })
        .await?
        .map(OwnerResponse::Alert)
        .ok_or_else(unknown)
    }
}
