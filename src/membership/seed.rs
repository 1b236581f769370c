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
pub struct Seeded {
    source: Rc<dyn Source>,
    unnamed: RefCell<Vec<Member>>,
    fetched: Cell<bool>,
}

impl Seeded {
    /// Completes `source` by `seeds`.
    pub fn new(source: Rc<dyn Source>, seeds: Vec<Member>) -> Self {
        Self { source, unnamed: RefCell::new(seeds), fetched: Cell::new(false) }
    }

    async fn complete(&self) -> Result<Vec<Member>, Error> {
        match self.source.list().await {
            Ok(members) => Ok(self.add_unnamed(members)),
            Err(error) if self.fetched.get() => Err(error),
            Err(error) => {
                log::warn!("event=membership.list_failed {error}");
                Ok(self.unnamed.borrow().clone())
            }
        }
    }

    fn add_unnamed(&self, mut members: Vec<Member>) -> Vec<Member> {
        self.fetched.set(true);
        let is_named = |seed: &Member| {
            let key = Key::from(seed);
            members.iter().any(|member| Key::from(member) == key)
        };
        let mut unnamed = self.unnamed.borrow_mut();
        unnamed.retain(|seed| !is_named(seed));
        members.extend(unnamed.iter().cloned());
        members
    }
}

impl Source for Seeded {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, Error>> {
        self.complete().boxed_local()
    }
}
