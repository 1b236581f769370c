//! The task that distributes changes of the instance list within the process.

use std::rc::Rc;

use crate::config;
use crate::entry::controller::Handle;
use crate::entry::directory::Directory;
use crate::membership::follow::Changes;
use crate::owner::machine::Message;
use crate::runner::Proxy;

/// Receivers of the instance list.
pub struct MembershipSubscriber {
    /// Lookup of instances.
    pub directory: Rc<Directory>,
    /// The state machine of the failure domain.
    pub owner: Handle,
    /// The replication of the operators' settings.
    pub config: config::Handle,
    /// The proxy of quick requests.
    pub requests: Proxy,
}

impl MembershipSubscriber {
    /// Distributes every change until there are no more.
    pub async fn run(self, mut changes: Changes) {
        while let Some(roster) = changes.recv().await {
            self.directory.update(roster.clone());
            self.owner.send(Message::Members(roster.members.clone()));
            self.config.set_peers(self.directory.gossip_peers());
            self.requests.set_members(roster.members.clone());
        }
    }
}
