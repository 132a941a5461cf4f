"""What a registrar does with its peers' heartbeats."""

from sumacloom.consensus.contact import newest_ballots
from sumacloom.consensus.handlers import KNOWN_S, hear_configuration, hear_decided, hears
from sumacloom.consensus.messages import Decided, Reconfigured
from sumacloom.logs import Scribe
from sumacloom.transport.messages import PeerBeat
from sumacloom.types import NO_BALLOT, Ballot

scribe = Scribe("office")


@hears(PeerBeat)
def hear_peer_beat(office, peer: str, message, now: float) -> None:
    """A peer's heartbeat."""
    if not office.alive(peer, now):
        scribe.say("the registrar %s is heard", peer)
        office.beaten_at = -1e9  # it is answered at once: contact is known the sooner
    if message.tolerates not in (
        0,
        office.settings.tolerate.nodes,
        office.peers[peer][1].tolerates if peer in office.peers else 0,
    ):
        scribe.warn(
            "tolerate.nodes is %d at %s and %d here: the most that a voter says is kept to",
            message.tolerates,
            peer,
            office.settings.tolerate.nodes,
        )
    office.peers[peer] = (now, message)
    office.contact.hear(peer, message.hears.get(office.me))
    if message.decided is not None:
        office.contact.hear_ballots(
            peer, message.hears.get(office.me), newest_ballots(message.decided, message.undecided)
        )
    office.known.update(
        {
            peer: now,
            **{
                other: max(now - KNOWN_S / 2, office.known.get(other, 0.0))
                for other in message.hears
            },
        }
    )
    office.roster.hear_peer(peer, message, now)
    office.members.hear_peer(peer, message.sessions, now)
    if message.records:
        office.tell_records(office.roster.take_records(message.records, now), now)
    elif message.digest != office.board.known_digest and office.board.records:
        office.outbox.append((peer, office.peer_beat(now, list(office.board.records.values()))))
    if message.configuration:
        office.generations[peer] = message.configuration.generation
        hear_configuration(office, peer, Reconfigured(message.configuration), now)
    for key, ballot in (message.decided or {}).items():
        if Ballot(*ballot) > office.decided.get(key, (NO_BALLOT,))[0]:
            hear_decided(office, peer, Decided(key, Ballot(*ballot)), now)
