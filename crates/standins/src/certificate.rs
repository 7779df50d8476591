//! Certificates and keys for tests.

use anyhow::Result;
use rustls::pki_types::CertificateDer;
use std::fs;
use std::path::Path;

/// Name in the certificate, which callers verify.
pub const SERVER_NAME: &str = "quetzalhill.test";

/// A self-signed certificate in PEM files and as callers trust it.
#[derive(Clone, Debug)]
pub struct TestCertificate {
    /// PEM file of the certificate.
    pub certificate: String,
    /// PEM file of the private key.
    pub private_key: String,
    /// What callers trust.
    pub root: CertificateDer<'static>,
}

/// Makes a certificate and writes its PEM files into `folder`.
///
/// # Errors
///
/// Returns an error if the files cannot be written.
pub fn write_certificate(folder: &Path) -> Result<TestCertificate> {
    let made = rcgen::generate_simple_self_signed([SERVER_NAME.to_string()])?;
    let certificate = folder.join("certificate.pem");
    let private_key = folder.join("private-key.pem");
    fs::write(&certificate, made.cert.pem())?;
    fs::write(&private_key, made.signing_key.serialize_pem())?;
    Ok(TestCertificate {
        certificate: certificate.to_string_lossy().into_owned(),
        private_key: private_key.to_string_lossy().into_owned(),
        root: made.cert.der().clone(),
    })
}

/// Writes a control key file into `folder` and returns its path.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_control_key(folder: &Path, number: u8) -> Result<String> {
    let path = folder.join(format!("control-{number}.key"));
    fs::write(
        &path,
        format!("{number} {}\n", format!("{number:02x}").repeat(32)),
    )?;
    Ok(path.to_string_lossy().into_owned())
}
