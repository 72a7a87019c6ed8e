"""Deltas between revisions, merged by document."""

import random

import pytest

from wasabitray_core.controllers import revised_documents
from wasabitray_core.controllers.revised_documents import RevisedDocuments
from wasabitray_core.messages import DocumentEdit

KEYS = [f"route/{n}" for n in range(8)]


def edit_some(rng, documents):
    """Return edits of some documents; some are removed."""
    edits = []
    for key in rng.sample(KEYS, rng.randint(0, 3)):
        if key in documents and rng.random() < 0.4:
            edits.append(DocumentEdit(key, None))
        else:
            edits.append(DocumentEdit(key, str(rng.random())))
    return tuple(edits)


def send_changes(source, copy):
    """Bring a copy up to date as a host does that asks for changes."""
    edits = source.find_edits_after(copy.revision)
    if edits is None:
        copy.replace(source.revision, source.documents)
    else:
        copy.apply(source.revision, edits)


@pytest.mark.parametrize("max_removed_bytes", (0, 20, 262_144))
@pytest.mark.parametrize("seed", range(40))
def test_copy_is_the_state_of_its_revision_whatever_it_was_sent(
    seed, max_removed_bytes, monkeypatch
):
    """Hosts pass on what they know, miss messages and start anew."""
    monkeypatch.setattr(
        revised_documents, "MAX_REMOVED_BYTES", max_removed_bytes
    )
    rng = random.Random(seed)
    states = {0: {}}
    hosts = [RevisedDocuments() for _ in range(4)]
    leader = hosts[0]
    in_transit = []
    for revision in range(1, 120):
        leader.apply(revision, edit_some(rng, leader.documents))
        states[revision] = dict(leader.documents)
        for _ in range(rng.randrange(4)):
            source, copy = rng.sample(hosts, 2)
            if source.revision > copy.revision:
                edits = source.find_edits_after(copy.revision)
                in_transit.append((copy.revision, source.revision, edits))
                if rng.random() < 0.5:
                    send_changes(source, copy)
        if in_transit and rng.random() < 0.5:
            # A late message may come to another host than it was made for.
            after, newer, edits = in_transit.pop(
                rng.randrange(len(in_transit))
            )
            copy = rng.choice(hosts[1:])
            if edits is not None and after <= copy.revision < newer:
                copy.apply(newer, edits)
        if rng.random() < 0.05:
            restarted = rng.randrange(1, 4)
            hosts[restarted] = RevisedDocuments()
        for host in hosts:
            assert host.documents == states[host.revision]


def test_edits_are_no_larger_than_the_state_whatever_the_history():
    documents = RevisedDocuments()
    for revision in range(1, 201):
        documents.apply(
            revision, [DocumentEdit(key, str(revision)) for key in KEYS[1:]]
        )
    documents.apply(201, [DocumentEdit(KEYS[0], "")])
    assert documents.find_edits_after(0) is None
    edits = documents.find_edits_after(150)
    assert edits is None
    assert documents.find_edits_after(200) == (DocumentEdit(KEYS[0], ""),)


def test_removed_keys_are_forgotten_above_their_bound(monkeypatch):
    monkeypatch.setattr(revised_documents, "MAX_REMOVED_BYTES", 100)
    documents = RevisedDocuments()
    documents.apply(1, [DocumentEdit("kept", "")])
    for revision in range(2, 100):
        edits = [DocumentEdit(f"key-{revision - 1}", None)]
        documents.apply(
            revision, [*edits, DocumentEdit(f"key-{revision}", "")]
        )
    assert documents.find_edits_after(1) is None
    assert len(documents.find_edits_after(95)) == 1 + 4
