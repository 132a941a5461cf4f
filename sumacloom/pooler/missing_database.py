"""What a session hears whose database has no route here.

"There is no such database" is a claim about the newest configuration, so it is made only while a
controller in a quorum has lately confirmed the one held.
"""

from sumacloom.types import NEVER


class MissingDatabase:
    """The answer, and how often it was given.

    Attributes:
        confirmed_until: until when the configuration held counts as confirmed, in seconds on the steady clock.
        answers: how often NODB was said, since the process began.
        unconfirmed_answers: how often BUSY was said in its place.
    """

    def __init__(self) -> None:
        self.confirmed_until = NEVER
        self.answers = self.unconfirmed_answers = 0

    def answer(self, now: float) -> str:
        """The line for a session or a statement.

        >>> missing_database = MissingDatabase(); missing_database.confirmed_until = 2.0
        >>> missing_database.answer(1.9)
        'ERR NODB there is no such database'
        >>> missing_database.answer(2.0)
        'ERR BUSY not run: no controller has confirmed the databases'
        """
        if now >= self.confirmed_until:
            self.unconfirmed_answers += 1
            return "ERR BUSY not run: no controller has confirmed the databases"
        self.answers += 1
        return "ERR NODB there is no such database"
