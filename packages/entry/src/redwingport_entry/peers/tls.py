"""TLS contexts for peer links, with certificates from the settings."""

import ssl

from redwingport_entry.settings import PeerSettings


def server_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context of the accepting side, or None when TLS is off."""
    return _context(settings, ssl.Purpose.CLIENT_AUTH)


def client_context(settings: PeerSettings) -> ssl.SSLContext | None:
    """Return the context of the dialing side, or None when TLS is off."""
    return _context(settings, ssl.Purpose.SERVER_AUTH)


def _context(settings: PeerSettings, purpose: ssl.Purpose) -> ssl.SSLContext | None:
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(purpose, cafile=settings.tls_ca)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Peers are addressed by IP number and trusted by their certificate authority. The handshake
    # then proves the shared secret, so certificates need not carry host names.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
