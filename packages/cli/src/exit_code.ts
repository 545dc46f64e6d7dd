/** Exit codes of the `kelpstep` command; docs/INTERFACE.md lists them. */
import type {ErrorName, Outcome} from '@kelpstep/protocol';

/** Exit codes by meaning. */
export const EXIT_CODES = {
  /** Done. */
  ok: 0,
  /** Refused or failed; nothing was run. */
  failure: 1,
  /** The command line is wrong. */
  usage: 2,
  /** A file has findings. */
  findings: 3,
  /** Another operator's commit came first. */
  conflict: 4,
  /** The request may have run; ask again with the same key. */
  unknownOutcome: 5,
} as const;
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** The exit code of a request that failed. */
export function exitCodeOf(name: ErrorName, outcome: Outcome): ExitCode {
  if (name === 'VERSION_CONFLICT') {
    return EXIT_CODES.conflict;
  }
  if (name === 'MANIFEST_INVALID') {
    return EXIT_CODES.findings;
  }
  return outcome === 'unknown' ? EXIT_CODES.unknownOutcome : EXIT_CODES.failure;
}
