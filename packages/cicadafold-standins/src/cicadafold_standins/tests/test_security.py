"""Tests of the tokens of each role, and of calls over TLS."""

import ssl
import subprocess

import aiohttp
import pytest
import uvloop

from cicadafold_standins import cells
from cicadafold_standins import testcell

TOKENS = {
    "caller_token": "for-callers",
    "operator_token": "for-operators",
    "peer_token": "for-peers",
}


@pytest.fixture(scope="module")
def certificate(tmp_path_factory):
    """Returns key and self-signed certificate for the loopback address."""
    folder = tmp_path_factory.mktemp("tls")
    key, path = folder / "key.pem", folder / "certificate.pem"
    subprocess.run(
        [
            "openssl",
            "req",
            "-x509",
            "-newkey",
            "rsa:2048",
            "-nodes",
            "-days",
            "2",
            "-subj",
            "/CN=127.0.0.1",
            "-addext",
            "subjectAltName=IP:127.0.0.1",
            "-keyout",
            key,
            "-out",
            path,
        ],
        check=True,
        capture_output=True,
    )
    return key, path


@pytest.fixture(scope="module")
def statuses(certificate, tmp_path_factory):
    """Returns the statuses of calls by token, over HTTP and TLS."""
    key, path = certificate
    cell = SecuredCell(
        plan=cells.CELLS["tezgah"](),
        layout=testcell.Layout(
            entries={"d1": 2},
            racks={"rack-1": ("d1", 1)},
            regions={"d1": "r1"},
            proxied=False,
        ),
        folder=tmp_path_factory.mktemp("secured"),
    )
    cell.key, cell.certificate = key, path

    async def run():
        async with cell:
            return await call_with_each_token(cell)

    return uvloop.run(run())


class SecuredCell(testcell.Cell):
    """A cell whose entry hosts require tokens and also listen with TLS.

    The driver has no token, so that it neither applies a configuration nor
    waits for owners.
    """

    def write_settings(self, entry):
        super().write_settings(entry)
        entry.tls_address = self.free_address()
        lines = ["[security]"]
        lines += [f'{key} = "{value}"' for key, value in TOKENS.items()]
        lines.append(f'tls_listen = "{entry.tls_address}"')
        lines.append(f'tls_certificate = "{self.certificate}"')
        lines.append(f'tls_key = "{self.key}"')
        path = self.folder / f"{entry.name}.toml"
        with open(path, "a", encoding="utf-8") as output:
            output.write("\n".join(lines) + "\n")

    async def apply_first_configuration(self):
        return

    async def wait_racks_owned(self):
        return


async def call_with_each_token(cell):
    """Makes calls with each token; returns their statuses and the log."""
    entry = next(iter(cell.entries.values()))
    context = ssl.create_default_context(cafile=str(cell.certificate))
    results = {}
    async with aiohttp.ClientSession() as session:
        for name in ("none", "wrong", *TOKENS):
            token = TOKENS.get(name, "guess")
            headers = {"Authorization": f"Bearer {token}"}
            if name == "none":
                headers = {}
            for path in ("/v1/configuration", "/v1/cell", "/peer/burn"):
                url = f"http://{entry.address}{path}"
                async with session.get(url, headers=headers) as reply:
                    results[(name, path)] = reply.status
        url = f"https://{entry.tls_address}/v1/configuration"
        headers = {"Authorization": f"Bearer {TOKENS['caller_token']}"}
        async with session.get(url, headers=headers, ssl=context) as reply:
            results["tls"] = reply.status
    results["log"] = entry.log_path.read_text()
    return results


@pytest.mark.parametrize(
    ("name", "caller", "operator", "peer"),
    [
        ("none", 401, 401, 401),
        ("wrong", 403, 403, 403),
        ("caller_token", 200, 403, 403),
        ("operator_token", 200, 200, 403),
        ("peer_token", 403, 403, 200),
    ],
)
def test_token_allows_only_the_calls_of_its_role(
    statuses, name, caller, operator, peer
):
    assert statuses[(name, "/v1/configuration")] == caller
    assert statuses[(name, "/v1/cell")] == operator
    assert statuses[(name, "/peer/burn")] == peer


def test_refused_call_is_logged(statuses):
    assert "call: /v1/cell was refused" in statuses["log"]


def test_call_over_tls_is_served(statuses):
    assert statuses["tls"] == 200
