//! Certificates and keys for tests.

use anyhow::Result;
use rustls::pki_types::CertificateDer;
use std::fs;
use std::path::Path;

/// Server name in the certificate, which callers verify.
pub const SERVER_NAME: &str = "quetzalhill.test";

/// A self-signed certificate: its PEM files for agents and its DER form for callers.
#[derive(Clone, Debug)]
pub struct TestCertificate {
    /// Path of the PEM file of the certificate.
    pub certificate: String,
    /// Path of the PEM file of the private key.
    pub private_key: String,
    /// The certificate in DER form, which callers add to their trusted roots.
    pub root: CertificateDer<'static>,
}

/// Generates a self-signed certificate and writes it and its private key as PEM files into `folder`.
///
/// # Errors
///
/// Returns an error if the certificate cannot be generated or a file cannot be written.
pub fn write_certificate(folder: &Path) -> Result<TestCertificate> {
    let generated = rcgen::generate_simple_self_signed([SERVER_NAME.to_string()])?;
    let certificate = folder.join("certificate.pem");
    let private_key = folder.join("private-key.pem");
    fs::write(&certificate, generated.cert.pem())?;
    fs::write(&private_key, generated.signing_key.serialize_pem())?;
    Ok(TestCertificate {
        certificate: certificate.to_string_lossy().into_owned(),
        private_key: private_key.to_string_lossy().into_owned(),
        root: generated.cert.der().clone(),
    })
}

/// Writes a control key file into `folder` and returns its path; the key has this number and repeats it in each byte.
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
