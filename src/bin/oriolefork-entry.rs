//! The daemon of an entry instance.

use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;

use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::entry::Daemon;
use oriolefork::settings::{self, Override, Settings};
use oriolefork::shutdown::Shutdown;
use oriolefork::{logging, telemetry};

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
        return check(&flags.settings, &flags.set);
    }
    match settings::load(&flags.settings, &flags.set) {
        Ok(settings) => serve(settings),
        Err(report) => {
            eprintln!("{report}");
            report.exit_code()
        }
    }
}

fn check(path: &Path, overrides: &[Override]) -> ExitCode {
    let report = settings::check(path, overrides);
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
            log::error!("event=entry.failed {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    logging::start(settings.log_level)?;
    let recorder = Rc::new(telemetry::start()?);
    let stop = Shutdown::new();
    stop.trigger_on_signals()?;
    let daemon = Daemon::bind(settings, recorder)?;
    println!("event=entry.listening api={}", daemon.listening().api);
    daemon.run(stop).await;
    Ok(())
}
