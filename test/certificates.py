"""A test certificate authority that issues leaf certificates."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

VALIDITY = datetime.timedelta(days=1)


class Authority:
    """A certificate authority that writes certificates and keys into a folder."""

    def __init__(self, folder, name="authority"):
        self.folder = pathlib.Path(folder)
        self.name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        self.key = ec.generate_private_key(ec.SECP256R1())
        constraints = x509.BasicConstraints(ca=True, path_length=None)
        builder = self._builder(self.name, self.key).add_extension(constraints, True)
        certificate = builder.sign(self.key, hashes.SHA256())
        self.path = self.folder / f"{name}.pem"
        self.path.write_bytes(_pem(certificate))

    def _builder(self, subject, key):
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - VALIDITY)
            .not_valid_after(now + VALIDITY)
        )

    def issue(self, name, file_stem="leaf"):
        """Write a certificate for a host name and 127.0.0.1; returns both paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        names = [
            x509.DNSName(name),
            x509.IPAddress(ipaddress.ip_address("127.0.0.1")),
        ]
        alternative = x509.SubjectAlternativeName(names)
        builder = self._builder(subject, key).add_extension(alternative, False)
        certificate = builder.sign(self.key, hashes.SHA256())
        certificate_path = self.folder / f"{file_stem}.pem"
        key_path = self.folder / f"{file_stem}.key"
        certificate_path.write_bytes(_pem(certificate))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(certificate_path), str(key_path)


def _pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
