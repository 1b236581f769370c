//! Faults that a route can play.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a route does to the bytes that pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Lets everything pass.
    #[default]
    Pass,
    /// Refuses connections and breaks those that are open.
    Refuse,
    /// Holds every byte back for some milliseconds.
    Delay(u64),
    /// Holds back what goes either way until the mode changes.
    CutBoth,
    /// Holds back what goes to the server until the mode changes.
    CutToServer,
    /// Holds back what goes to the client until the mode changes.
    CutToClient,
    /// Breaks a connection once the server answers, before the client sees any of it.
    DropAnswer,
    /// Breaks a connection after that many bytes of answers.
    Truncate(u64),
    /// Passes that many bytes a second each way.
    Slow(u64),
}

/// Way in which bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From client to server.
    ToServer,
    /// From server to client.
    ToClient,
}

/// What becomes of bytes that have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// They wait for another mode.
    Hold,
    /// They go on after a pause.
    Forward {
        /// Pause before they go on.
        after: Duration,
        /// How many of them go on at once.
        bytes: usize,
    },
    /// They are lost, and the connection with them.
    Break,
}

/// Length of the steps in which a slow route passes bytes.
const SLOW_STEP: Duration = Duration::from_millis(50);

impl Mode {
    /// Tells what becomes of `arrived` bytes after `passed` bytes went the same way in this mode.
    ///
    /// ```
    /// use oriolefork::standin::proxy::{Action, Direction, Mode};
    /// let action = Mode::CutToServer.act(Direction::ToServer, 10, 0);
    /// assert_eq!(action, Action::Hold);
    /// ```
    pub fn act(self, direction: Direction, arrived: usize, passed: u64) -> Action {
        let forward = |after, bytes| Action::Forward { after, bytes };
        let whole = forward(Duration::ZERO, arrived);
        match (self, direction) {
            (Self::Refuse, _) | (Self::DropAnswer, Direction::ToClient) => Action::Break,
            (Self::CutBoth, _)
            | (Self::CutToServer, Direction::ToServer)
            | (Self::CutToClient, Direction::ToClient) => Action::Hold,
            (Self::Delay(millis), _) => forward(Duration::from_millis(millis), arrived),
            (Self::Truncate(limit), Direction::ToClient) => {
                match usize::try_from(limit.saturating_sub(passed)).unwrap_or(usize::MAX) {
                    0 => Action::Break,
                    room => forward(Duration::ZERO, arrived.min(room)),
                }
            }
            (Self::Slow(rate), _) => forward(SLOW_STEP, arrived.min(slow_bytes(rate))),
            _ => whole,
        }
    }

    /// Whether a connection can be set up, which takes both ways.
    pub fn connects(self) -> bool {
        !matches!(self, Self::Refuse | Self::CutBoth | Self::CutToServer | Self::CutToClient)
    }
}

fn slow_bytes(rate: u64) -> usize {
    let bytes = u128::from(rate) * SLOW_STEP.as_millis() / 1_000;
    usize::try_from(bytes).unwrap_or(usize::MAX).max(1)
}
