//! The task that passes the view of the instances on to those who use it.

use std::rc::Rc;

use crate::config;
use crate::entry::controller::Handle;
use crate::entry::directory::Directory;
use crate::membership::follow::Changes;
use crate::owner::machine::Message;
use crate::runner::Proxy;

/// Who uses the view.
pub struct MembershipSubscriber {
    /// Those who look instances up.
    pub directory: Rc<Directory>,
    /// The state machine of the failure domain.
    pub owner: Handle,
    /// The settings in force.
    pub config: config::Handle,
    /// The quick requests.
    pub requests: Proxy,
}

impl MembershipSubscriber {
    /// Passes on every change.
    pub async fn run(self, mut changes: Changes) {
        while let Some(roster) = changes.recv().await {
            self.directory.update(roster.clone());
            self.owner.send(Message::Members(roster.members.clone()));
            self.config.set_peers(self.directory.gossip_peers());
            self.requests.set_members(roster.members.clone());
        }
    }
}
