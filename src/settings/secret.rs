//! Secrets that cannot slip into a log line or a dump.

use std::fmt;

/// A secret text: it has no `Display` and no `Serialize`, and its `Debug` hides it.
///
/// ```
/// use oriolefork::settings::Secret;
/// let token = Secret::new("correct horse battery".to_owned());
/// assert!(token.matches("correct horse battery"));
/// assert!(!token.matches("correct horse"));
/// assert_eq!(format!("{token:?}"), "Secret(***)");
/// ```
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Hides `text`.
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Whether `offered` is the secret.
    ///
    /// The time it takes depends on the lengths only, so that a caller cannot find the secret
    /// letter by letter by timing refusals.
    pub fn matches(&self, offered: &str) -> bool {
        let pairs = self.0.bytes().zip(offered.bytes());
        let difference = pairs.fold(0, |difference, (own, other)| difference | (own ^ other));
        self.0.len() == offered.len() && difference == 0
    }

    /// The text itself, for a header on its way out. Never log it.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(***)")
    }
}
