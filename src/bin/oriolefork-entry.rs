//! The daemon of an entry instance.

use std::path::Path;
use std::process::ExitCode;

use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::entry::Daemon;
use oriolefork::settings::{self, Settings};
use oriolefork::shutdown::Shutdown;

mod flags {
    use std::path::PathBuf;

    use oriolefork::settings::Override;

    xflags::xflags! {
        /// Runs an entry instance of the scheduler until it is told to stop.
        cmd oriolefork-entry {
            /// Settings file in JSON.
            required --settings path: PathBuf
            /// Setting that goes before the file's, as path=value.
            repeated --set setting: Override
            /// Check the settings and stop.
            optional --check-settings
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::OrioleforkEntry::from_env_or_exit();
    if flags.check_settings {
        return check(&flags.settings);
    }
    match settings::load(&flags.settings, &flags.set) {
        Ok(settings) => serve(settings),
        Err(report) => {
            eprintln!("{report}");
            report.exit_code()
        }
    }
}

fn check(path: &Path) -> ExitCode {
    let report = settings::check(path);
    println!("{report}");
    report.exit_code()
}

fn serve(settings: Settings) -> ExitCode {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let outcome =
        runtime.map_err(Into::into).and_then(|mut runtime| runtime.block_on(run(settings)));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=entry.failed {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let stop = Shutdown::new();
    stop.trigger_on_signals()?;
    let daemon = Daemon::bind(settings)?;
    println!("event=entry.listening api={}", daemon.listening().api);
    daemon.run(stop).await;
    Ok(())
}
