"""Random texts for rows, data, shapes and session values."""

# What may stand inside a field although it reads like the protocol. No text
# holds CR LF, which ends a line.
HARD_PARTS = [
    "\n", "\r", "\0", " ", "  ", "\t", "\n\n", "\r\r", "\n\r", "\x85", "\u2028",
    "x\nCOMPLETE sig\nREADY I 1.2", "\nROW other", "\nERROR BUSY -",
    "\nREADY I -", "\rCOMPLETE -\rREADY T 1.1", "\nQUERY {id} WRITE 1 y",
    "\nQUERY - ROLLBACK\n", "\rTERM", "\nSTART beds key-a", "COMPLETE -",
    "READY E -", "AFTER 9.9 READ 1", "COMMIT", "-",
]
# Share of the texts that hold hard parts, while that trouble is on.
HARD_SHARE = 0.6
# Share of the texts that come in more than one read of a socket, and their
# length.
LONG_SHARE = 0.01
LONG_BYTES = (20_000, 200_000)


class Texts:
    """Makes texts; `hard` says whether they may hold hard parts."""

    def __init__(self, random, hard):
        self.random = random
        self.hard = hard

    def word(self):
        return self.random.randbytes(self.random.randint(3, 9)).hex()

    def field(self):
        """Returns the bytes of a last field, a plain word unless hard parts are
        on."""
        if not self.hard or self.random.random() > HARD_SHARE:
            return self.word().encode()
        if self.random.random() < LONG_SHARE:
            return self.random.randbytes(
                self.random.randint(*LONG_BYTES) // 2).hex().encode()
        parts = []
        for _ in range(self.random.randint(1, 4)):
            parts.append(self.random.choice(HARD_PARTS).replace(
                "{id}", self.word()))
            if self.random.random() < 0.7:
                parts.append(self.word())
        if self.random.random() < 0.5:
            parts.insert(0, self.word())
        text = "".join(parts).encode()
        # Two parts may join to the end of a line.
        while b"\r\n" in text:
            text = text.replace(b"\r\n", b"\n")
        return text
