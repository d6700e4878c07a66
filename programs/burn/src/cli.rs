//! Flags and environment variables of magpie-burn, the burn-rate report.

use {
    argh::FromArgs,
    infra::boxes,
    kernel::{
        Client, daemon,
        settings::{Fault, Reader},
        token::Token,
    },
};

/// Reports how fast the services burn their error budgets. Each flag has an environment variable;
/// the flag takes precedence.
#[derive(FromArgs)]
pub struct Arguments {
    /// base address of the list of boxes (MAGPIE_BOXES)
    #[argh(option)]
    boxes: Option<String>,
    /// percent of requests that must be within the target (MAGPIE_OBJECTIVE, default 99)
    #[argh(option)]
    objective: Option<String>,
    /// file with the token of the internal ports, else MAGPIE_TOKEN (MAGPIE_TOKEN_FILE)
    #[argh(option)]
    token_file: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Settings of the report.
pub struct Settings {
    /// Source of the list of boxes.
    pub boxes: boxes::Http,
    /// Fraction of requests that must be within the target.
    pub objective: f64,
    /// Token for requests on the internal ports.
    pub token: Option<Token>,
    /// True to print JSON.
    pub json: bool,
}

/// Reads and validates the settings.
///
/// # Errors
///
/// All invalid settings.
pub fn read(arguments: Arguments) -> Result<Settings, Vec<Fault>> {
    let mut reader = Reader::new();
    let boxes = reader.url("boxes", arguments.boxes, None);
    let rule = "a percentage above 0 and below 100";
    let percent: Option<f64> = reader.value("objective", arguments.objective, Some("99"), rule);
    if let Some(percent) = percent
        && !(percent > 0.0 && percent < 100.0)
    {
        reader.fault("objective", &percent.to_string(), rule);
    }
    let common = daemon::read_common(&mut reader, None, arguments.token_file);
    reader.build(|| {
        Some(Settings {
            boxes: boxes::Http::new(&boxes?, Client::new(None)),
            objective: percent? / 100.0,
            token: common?.token,
            json: arguments.json,
        })
    })
}
