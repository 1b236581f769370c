//! The task that follows the platform's list of instances.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::Clock;
use crate::entry::controller::Handle;
use crate::membership::Source;
use crate::owner::machine::Message;
use crate::runner::Proxy;

/// Fetches the list again and again and hands it on.
pub async fn follow(
    source: Rc<dyn Source>,
    handle: Handle,
    requests: Proxy,
    clock: Rc<dyn Clock>,
    poll: Duration,
) {
    loop {
        match source.list().await {
            Ok(members) => {
                requests.set_members(members.clone());
                handle.send(Message::Members(members));
            }
            // The last list stays in use: it lags anyway, and losing it must not lose upstreams.
            Err(error) => log::warn!("event=membership.list_failed {error}"),
        }
        clock.sleep(poll).await;
    }
}
