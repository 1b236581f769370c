//! Entry instances that the settings name, used until the list has named them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::view::Key;
use super::{Error, Member, Source};

/// A list completed by instances that are known before it is.
///
/// An instance that starts while the list is down would otherwise know no peer, and could learn
/// neither the settings in force nor who owns its failure domain. Once the list has named an
/// instance, the list alone speaks for it, so that one that is gone does not come back.
pub struct SeededSource {
    source: Rc<dyn Source>,
    unlisted: RefCell<Vec<Member>>,
    fetched: Cell<bool>,
}

impl SeededSource {
    /// Completes `source` by `seeds`.
    pub fn new(source: Rc<dyn Source>, seeds: Vec<Member>) -> Self {
        Self { source, unlisted: RefCell::new(seeds), fetched: Cell::new(false) }
    }

    async fn complete(&self) -> Result<Vec<Member>, Error> {
        match self.source.list().await {
            Ok(members) => Ok(self.add_unlisted(members)),
            Err(error) if self.fetched.get() => Err(error),
            Err(error) => {
                log::warn!("event=membership.list_failed {error}");
                Ok(self.unlisted.borrow().clone())
            }
        }
    }

    fn add_unlisted(&self, mut members: Vec<Member>) -> Vec<Member> {
        self.fetched.set(true);
        let is_listed = |seed: &Member| {
            let key = Key::from(seed);
            members.iter().any(|member| Key::from(member) == key)
        };
        let mut unlisted = self.unlisted.borrow_mut();
        unlisted.retain(|seed| !is_listed(seed));
        members.extend(unlisted.iter().cloned());
        members
    }
}

impl Source for SeededSource {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, Error>> {
        self.complete().boxed_local()
    }
}
