use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Writes log lines of this level and above to the standard error stream.
///
/// Further calls in the same process have no effect.
pub fn start_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // Libraries log every frame and connection at the levels debug and trace.
        .add_filter_allow_str("arbutuspick")
        .build();
    if WriteLogger::init(level, config, std::io::stderr()).is_err() {
        log::debug!("[config] the log is already set up");
    }
}
