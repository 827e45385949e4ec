/** Exit codes of the binaries; `docs/codes.md` prints this table and a test compares the two. */
export const exitCodes = {
  ok: { code: 0, text: 'The command did what it was asked for; a daemon stopped cleanly.' },
  refused: { code: 1, text: 'The system refused the request; nothing was changed.' },
  usage: { code: 2, text: 'The command line is wrong.' },
  invalid: { code: 3, text: 'A settings, deployment or contract file is not valid or cannot be read.' },
  unreachable: { code: 4, text: 'No host answered; nothing was changed.' },
  denied: { code: 5, text: 'The credential is missing or wrong.' },
  conflict: { code: 6, text: 'Another operator changed the same item first; nothing was changed.' },
  unknown: { code: 7, text: 'It is not known whether the write took effect; settle it with "shuntctl write WRITE_ID".' },
  timeout: { code: 8, text: 'The change was accepted, but did not reach the state that --wait waits for in time.' },
  differs: { code: 9, text: 'A comparison found differences.' },
  internal: { code: 10, text: 'An unexpected error occurred.' },
  startFailed: { code: 11, text: 'A daemon could not start, for example because its port is in use.' }
} as const
