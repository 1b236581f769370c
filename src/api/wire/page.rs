//! JSON form of list pages.

use serde::{Deserialize, Serialize};

use crate::api::view;

/// One page of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page<T> {
    /// Items in list order.
    pub items: Vec<T>,
    /// Cursor for the `after` of the next page; absent on the last page.
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
