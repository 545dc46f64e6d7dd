/** Exit codes of the `kelpstep` command; docs/INTERFACE.md lists them. */
import type {ErrorName, Outcome} from '@kelpstep/protocol';

export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** The request was rejected or failed, and nothing was run. */
  failure: 1,
  /** The command line is invalid. */
  usage: 2,
  /** A settings file or manifest has findings. */
  findings: 3,
  /** The manifest version to replace is no longer the current one. */
  conflict: 4,
  /** The request may have run; repeat it with the same idempotency key. */
  unknownOutcome: 5,
} as const;
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Returns the exit code of a failed request. */
export function getExitCode(name: ErrorName, outcome: Outcome): ExitCode {
  if (name === 'VERSION_CONFLICT') {
    return EXIT_CODES.conflict;
  }
  if (name === 'MANIFEST_INVALID') {
    return EXIT_CODES.findings;
  }
  return outcome === 'unknown' ? EXIT_CODES.unknownOutcome : EXIT_CODES.failure;
}
