//! Flags and environment variables of magpie-table, the table process.

use {
    argh::FromArgs,
    infra::{boxes, store},
    kernel::{
        Client, daemon,
        resources::Resources,
        settings::{Fault, Reader},
    },
    log::LevelFilter,
    std::sync::Arc,
    table::service::Settings,
};

/// Accepts operators' edits of the table and replicates them. Each flag has an environment
/// variable; the flag takes precedence.
#[derive(FromArgs)]
pub struct Arguments {
    /// name of this box, as in the list of boxes (MAGPIE_NAME)
    #[argh(option)]
    name: Option<String>,
    /// address of the port (MAGPIE_LISTEN, default 127.0.0.1:7003)
    #[argh(option)]
    listen: Option<String>,
    /// base address of the key-value service (MAGPIE_STORE)
    #[argh(option)]
    store: Option<String>,
    /// base address of the list of boxes (MAGPIE_BOXES)
    #[argh(option)]
    boxes: Option<String>,
    /// memory of the process in MiB (MAGPIE_MEMORY_MB, default 256)
    #[argh(option)]
    memory_mb: Option<String>,
    /// file descriptors that the process may open (MAGPIE_DESCRIPTORS, default 4096)
    #[argh(option)]
    descriptors: Option<String>,
    /// file with the token of the internal ports, else MAGPIE_TOKEN (MAGPIE_TOKEN_FILE)
    #[argh(option)]
    token_file: Option<String>,
    /// off, error, warn, info, debug or trace (MAGPIE_LOG_LEVEL, default info)
    #[argh(option)]
    log_level: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Reads and validates the settings.
///
/// # Errors
///
/// All invalid settings.
pub fn read(arguments: Arguments) -> Result<(Settings, LevelFilter), Vec<Fault>> {
    let mut reader = Reader::new();
    let name = reader.name("name", arguments.name, None);
    let listen = reader.address("listen", arguments.listen, "127.0.0.1:7003");
    let store = reader.url("store", arguments.store, None);
    let boxes = reader.url("boxes", arguments.boxes, None);
    let resources = Resources::read(&mut reader, arguments.memory_mb, arguments.descriptors);
    let common = daemon::read_common(&mut reader, arguments.log_level, arguments.token_file);
    reader.build(|| {
        let common = common?;
        let client = Client::new(None);
        let settings = Settings {
            name: Arc::from(name?),
            listen: listen?,
            resources: resources?,
            token: common.token,
            store: Arc::new(store::Http::new(&store?, client.clone())),
            boxes: Arc::new(boxes::Http::new(&boxes?, client)),
        };
        Some((settings, common.level))
    })
}
