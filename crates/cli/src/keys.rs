//! `sardinevalve keys`.

use super::*;

pub(crate) fn run(command: &Keys) -> eyre::Result<ExitCode> {
    match command {
        Keys::Init { folder } => {
            wire::Authority::create(folder)?;
            println!(
                "created the certificate authority `{}`",
                folder.join(wire::Authority::CERTIFICATE).display()
            );
        }
        Keys::Issue { folder, name } => {
            wire::Authority::open(folder).issue(name)?;
            println!("issued `{0}.pem` and `{0}.key` in `{1}`", name, folder.display());
        }
        Keys::Renew { folder, name } => {
            wire::Authority::open(folder).renew(name)?;
            println!("renewed `{0}.pem` and `{0}.key` in `{1}`", name, folder.display());
        }
        Keys::Show { certificate } => println!("{}", wire::Certificate::load(certificate)?),
    }
    Ok(ExitCode::SUCCESS)
}
