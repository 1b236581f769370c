//! Parts of lists.

use serde::{Deserialize, Serialize};

use crate::api::view;

/// One part of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page<T> {
    /// Its items in order.
    pub items: Vec<T>,
    /// What to send as `after` for the next page; absent on the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

impl<T, U: From<T>, C: ToString> From<view::Page<T, C>> for Page<U> {
    fn from(page: view::Page<T, C>) -> Self {
        Self {
            items: page.items.into_iter().map(U::from).collect(),
            next: page.next.map(|cursor| cursor.to_string()),
        }
    }
}
