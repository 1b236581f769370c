//! Query parameters of a request.

use std::str::FromStr;

use crate::api::refusal::Refusal;
use crate::api::view::{PageRequest, job};
use crate::api::wire::check;

/// Items per page when the request sets no `limit`.
const DEFAULT_PAGE_SIZE: usize = 100;

/// Query parameters of one request, each given at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    pairs: Vec<(String, String)>,
}

impl Query {
    /// Parses a query string and refuses parameters that are not in `allowed`.
    ///
    /// ```
    /// use oriolefork::api::query::Query;
    /// let query = Query::parse("limit=5", &["after", "limit"])?;
    /// assert_eq!(query.page_request::<u64>()?.limit, 5);
    /// let refusal = Query::parse("limti=5", &["after", "limit"]).unwrap_err();
    /// assert_eq!(refusal.field.as_deref(), Some("limti"));
    /// # Ok::<(), oriolefork::api::Refusal>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Refuses an unknown or repeated parameter.
    pub fn parse(text: &str, allowed: &[&str]) -> Result<Self, Refusal> {
        let mut query = Self::default();
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            if !allowed.contains(&name.as_ref()) {
                let allowed =
                    if allowed.is_empty() { "none".to_owned() } else { allowed.join(", ") };
                let message = format!("unknown parameter; this path accepts {allowed}");
                return Err(Refusal::invalid(name, message));
            }
            if query.get(&name).is_some() {
                return Err(Refusal::invalid(name, "the parameter is given more than once"));
            }
            query.pairs.push((name.into_owned(), value.into_owned()));
        }
        Ok(query)
    }

    /// Returns the value of a parameter.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.pairs.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Parses the parameters `after` and `limit`.
    ///
    /// # Errors
    ///
    /// Refuses a malformed cursor, or a limit that is out of range.
    pub fn page_request<C: FromStr>(&self) -> Result<PageRequest<C>, Refusal> {
        self.page_request_with(|text| text.parse().ok())
    }

    /// Parses the parameters `after`, with `read`, and `limit`.
    ///
    /// # Errors
    ///
    /// Refuses a malformed cursor, or a limit that is out of range.
    pub fn page_request_with<C>(
        &self,
        read: impl FnOnce(&str) -> Option<C>,
    ) -> Result<PageRequest<C>, Refusal> {
        let malformed = || {
            Refusal::invalid(
                "after",
                "after must be the `next` value of the previous page, unchanged",
            )
        };
        let after = self.get("after").map(|text| read(text).ok_or_else(malformed)).transpose()?;
        Ok(PageRequest { after, limit: self.limit()? })
    }

    fn limit(&self) -> Result<usize, Refusal> {
        let Some(text) = self.get("limit") else { return Ok(DEFAULT_PAGE_SIZE) };
        text.parse().ok().filter(|limit| (1..=check::MAX_PAGE_SIZE).contains(limit)).ok_or_else(
            || Refusal::invalid("limit", format!("limit must be 1 to {}", check::MAX_PAGE_SIZE)),
        )
    }

    /// Parses the parameters that filter jobs: `team`, `name` and `state`.
    ///
    /// # Errors
    ///
    /// Refuses a malformed parameter.
    pub fn job_filter(&self) -> Result<job::Filter, Refusal> {
        let state = self.get("state").map(job_state).transpose()?;
        for field in ["team", "name"] {
            self.get(field).map_or(Ok(()), |text| check::name(field, text))?;
        }
        Ok(job::Filter {
            team: self.get("team").map(str::to_owned),
            name: self.get("name").map(str::to_owned),
            state,
        })
    }

    /// Parses a parameter that is `true` or `false`; `false` when absent.
    ///
    /// # Errors
    ///
    /// Refuses any other value.
    pub fn flag(&self, name: &str) -> Result<bool, Refusal> {
        let message = || format!("{name} must be true or false");
        self.get(name)
            .map_or(Ok(false), |text| text.parse().map_err(|_| Refusal::invalid(name, message())))
    }
}

fn job_state(text: &str) -> Result<job::State, Refusal> {
    let names = job::State::ALL.map(|state| state.to_string());
    let found = job::State::ALL.into_iter().find(|state| state.to_string() == text);
    found.ok_or_else(|| Refusal::invalid("state", format!("state must be {}", names.join(", "))))
}
