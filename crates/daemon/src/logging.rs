//! Logs as JSON lines on standard error.

use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Logger, Root},
    encode::json::JsonEncoder,
};

pub(crate) fn start() -> eyre::Result<()> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .logger(Logger::builder().build("tiny_http", log::LevelFilter::Off))
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(log::LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
