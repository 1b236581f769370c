//! Prints the JSON schema of the settings file.
//!
//! `cargo run --example settings_schema > docs/settings.schema.json`

fn main() {
    println!("{:#}", oriolefork::settings::schema());
}
