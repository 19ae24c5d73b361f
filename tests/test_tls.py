"""Tests of reloading changed certificates."""

import os
import ssl

import pytest

from skylarkpitch.daemon import tls
from skylarkpitch import errors
from skylarkpitch.settings import daemon


@pytest.fixture
def settings(tmp_path):
    for name in ('certificate.pem', 'key.pem'):
        (tmp_path / name).write_text('first')
    return daemon.TlsSettings(
        certificate_file=tmp_path / 'certificate.pem',
        key_file=tmp_path / 'key.pem',
    )


def reloader(settings, load):
    return tls.CertificateReloader(settings=settings, context=None, load=load)


def touch(path, now_s):
    os.utime(path, (now_s, now_s))


def test_changed_files_are_loaded_once(settings):
    loads = []
    certificate_reloader = reloader(
        settings, lambda context, files: loads.append(files)
    )
    assert not certificate_reloader.reload_if_changed()
    touch(settings.key_file, 1000)
    assert certificate_reloader.reload_if_changed()
    assert not certificate_reloader.reload_if_changed()
    assert loads == [settings]


def test_pair_that_does_not_load_is_tried_again(settings):
    results = [ssl.SSLError('no match'), None]

    def load(context, files):
        result = results.pop(0)
        if result is not None:
            raise result

    certificate_reloader = reloader(settings, load)
    touch(settings.certificate_file, 1000)
    assert not certificate_reloader.reload_if_changed()
    assert certificate_reloader.reload_if_changed()


def test_missing_file_is_not_loaded(settings):
    certificate_reloader = reloader(settings, lambda context, files: None)
    settings.key_file.unlink()
    assert not certificate_reloader.reload_if_changed()


def test_error_names_files_without_a_matching_pair(settings):
    with pytest.raises(errors.SettingsError, match='certificate.pem'):
        tls.context(settings)
